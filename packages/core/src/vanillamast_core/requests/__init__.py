"""Routing, admission, retries and refusals of requests."""

from vanillamast_core.requests.admission_queue import AdmissionQueue
from vanillamast_core.requests.attempt_result import (
    AttemptOutcome,
    AttemptResult,
)
from vanillamast_core.requests.balancing import (
    BalancingPolicy,
    LeastOutstanding,
    PowerOfTwo,
    RoundRobin,
    balancing_policies,
)
from vanillamast_core.requests.concurrency_limiter import ConcurrencyLimiter
from vanillamast_core.requests.deadline import Deadline
from vanillamast_core.requests.exchange import Exchange, Phase
from vanillamast_core.requests.exchange_effects import (
    Answer,
    Attempt,
    Cancel,
    Claim,
    CloseConnection,
    ExchangeEffect,
    Refuse,
    ReportAttempt,
    Settle,
    Wait,
)
from vanillamast_core.requests.exchange_events import (
    Admitted,
    AttemptEvent,
    BodyCut,
    BodyEnded,
    BodyRejected,
    BytesSent,
    CallerGone,
    Connected,
    ConnectFailed,
    Disconnected,
    ExchangeEvent,
    HeadersReceived,
    KeyAnswered,
    NotRun,
    TimedOut,
)
from vanillamast_core.requests.home_node import find_home_node
from vanillamast_core.requests.key_ledger import KeyLedger
from vanillamast_core.requests.outlier_detector import OutlierDetector
from vanillamast_core.requests.refusal import Refusal, make_refusal, refusals
from vanillamast_core.requests.request_inputs import RequestInputs
from vanillamast_core.requests.request_router import RequestRouter
from vanillamast_core.requests.retry_budget import RetryBudget
from vanillamast_core.requests.route_matcher import RouteMatcher
from vanillamast_core.requests.routing_decision import RoutingDecision
from vanillamast_core.requests.server_choice import ServerChoice
from vanillamast_core.requests.server_view import ServerView
from vanillamast_core.requests.service_pool import ServicePool
from vanillamast_core.requests.settings import RequestSettings
from vanillamast_core.requests.uuid7_time import read_uuid7_time
from vanillamast_core.requests.version_chooser import (
    SplitFactory,
    VersionChooser,
)

__all__ = [
    "AdmissionQueue",
    "Admitted",
    "Answer",
    "Attempt",
    "AttemptEvent",
    "AttemptOutcome",
    "AttemptResult",
    "BalancingPolicy",
    "BodyCut",
    "BodyEnded",
    "BodyRejected",
    "BytesSent",
    "CallerGone",
    "Cancel",
    "Claim",
    "CloseConnection",
    "ConcurrencyLimiter",
    "ConnectFailed",
    "Connected",
    "Deadline",
    "Disconnected",
    "Exchange",
    "ExchangeEffect",
    "ExchangeEvent",
    "HeadersReceived",
    "KeyAnswered",
    "KeyLedger",
    "LeastOutstanding",
    "NotRun",
    "OutlierDetector",
    "Phase",
    "PowerOfTwo",
    "Refusal",
    "Refuse",
    "ReportAttempt",
    "RequestInputs",
    "RequestRouter",
    "RequestSettings",
    "RetryBudget",
    "RoundRobin",
    "RouteMatcher",
    "RoutingDecision",
    "ServerChoice",
    "ServerView",
    "ServicePool",
    "Settle",
    "SplitFactory",
    "TimedOut",
    "VersionChooser",
    "Wait",
    "balancing_policies",
    "find_home_node",
    "make_refusal",
    "read_uuid7_time",
    "refusals",
]
