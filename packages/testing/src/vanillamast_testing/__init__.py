"""Stand-ins, scenarios, demo and bench of vanillamast. Not shipped."""

from vanillamast_testing.announcer import Announcer
from vanillamast_testing.answer_body import answer_body
from vanillamast_testing.app_server import serve
from vanillamast_testing.backend_app import Backend
from vanillamast_testing.backend_settings import BackendSettings, LoadReport
from vanillamast_testing.badness import (
    Badness,
    BadnessError,
    Harm,
    badness_kinds,
    decode_badness,
)
from vanillamast_testing.load_settings import LoadSettings
from vanillamast_testing.load_summary import LoadSummary, summarize
from vanillamast_testing.open_loop import LoadGenerator
from vanillamast_testing.platform_log_app import PlatformLog
from vanillamast_testing.platform_log_faults import PlatformLogFaults
from vanillamast_testing.platform_log_settings import PlatformLogSettings
from vanillamast_testing.platform_log_store import (
    AppendRateError,
    PlatformLogStore,
)
from vanillamast_testing.request_record import RequestRecord
from vanillamast_testing.run_counts import RunCounts, merge_runs
from vanillamast_testing.uuid7 import uuid7

__all__ = [
    "Announcer",
    "AppendRateError",
    "Backend",
    "BackendSettings",
    "Badness",
    "BadnessError",
    "Harm",
    "LoadGenerator",
    "LoadReport",
    "LoadSettings",
    "LoadSummary",
    "PlatformLog",
    "PlatformLogFaults",
    "PlatformLogSettings",
    "PlatformLogStore",
    "RequestRecord",
    "RunCounts",
    "answer_body",
    "badness_kinds",
    "decode_badness",
    "merge_runs",
    "serve",
    "summarize",
    "uuid7",
]
