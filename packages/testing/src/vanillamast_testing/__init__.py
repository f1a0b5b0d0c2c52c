"""Stand-ins, scenarios, demo and bench of vanillamast. Not shipped."""

from vanillamast_testing.announcer import Announcer
from vanillamast_testing.answer_body import answer_body
from vanillamast_testing.app_server import serve
from vanillamast_testing.backend_app import Backend
from vanillamast_testing.backend_settings import BackendSettings, LoadReport
from vanillamast_testing.badness import (
    Badness,
    BadnessError,
    Fault,
    badness_kinds,
    decode_badness,
)
from vanillamast_testing.core_scenario_target import CoreScenarioTarget
from vanillamast_testing.fleet import Fleet
from vanillamast_testing.fleet_scenario_target import FleetScenarioTarget
from vanillamast_testing.fleet_settings import FleetSettings
from vanillamast_testing.layout import Layout, LayoutError, load_layout
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
from vanillamast_testing.scenario_errors import (
    ScenarioError,
    ScenarioInvariantError,
    ScenarioStepError,
    ScenarioSyntaxError,
    ScenarioUnsupportedError,
)
from vanillamast_testing.scenario_parser import (
    ScenarioLine,
    parse_scenario,
    parse_step,
)
from vanillamast_testing.scenario_runner import (
    ScenarioReport,
    StepResult,
    run_scenario,
)
from vanillamast_testing.scenario_step import Step, steps
from vanillamast_testing.scenario_target import ScenarioTarget
from vanillamast_testing.scenario_values import (
    PLATFORM,
    Group,
    ScenarioInstance,
    ScenarioMove,
    ScenarioTraffic,
)
from vanillamast_testing.scenario_world import ScenarioWorld
from vanillamast_testing.uuid7 import uuid7

__all__ = [
    "PLATFORM",
    "Announcer",
    "AppendRateError",
    "Backend",
    "BackendSettings",
    "Badness",
    "BadnessError",
    "CoreScenarioTarget",
    "Fault",
    "Fleet",
    "FleetScenarioTarget",
    "FleetSettings",
    "Group",
    "Layout",
    "LayoutError",
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
    "ScenarioError",
    "ScenarioInstance",
    "ScenarioInvariantError",
    "ScenarioLine",
    "ScenarioMove",
    "ScenarioReport",
    "ScenarioStepError",
    "ScenarioSyntaxError",
    "ScenarioTarget",
    "ScenarioTraffic",
    "ScenarioUnsupportedError",
    "ScenarioWorld",
    "Step",
    "StepResult",
    "answer_body",
    "badness_kinds",
    "decode_badness",
    "load_layout",
    "merge_runs",
    "parse_scenario",
    "parse_step",
    "run_scenario",
    "serve",
    "steps",
    "summarize",
    "uuid7",
]
