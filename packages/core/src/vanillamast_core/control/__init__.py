"""The control plane of a node, which turns events into effects."""

from vanillamast_core.control.control_settings import ControlSettings
from vanillamast_core.control.core_settings import CoreSettings
from vanillamast_core.control.data_plane import DataPlane
from vanillamast_core.control.effects import (
    Append,
    ClearSplit,
    DropService,
    Effect,
    Notice,
    OutcomeFolded,
    RequestEffect,
    SetRoutes,
    SetServers,
    SetSplit,
)
from vanillamast_core.control.events import (
    AttemptEnded,
    DialFailed,
    EntriesRead,
    Event,
    LinkDown,
    LinkUp,
    MessageReceived,
    RecordSubmitted,
    ServerReported,
    StopRequested,
    Tick,
)
from vanillamast_core.control.key_service import KeyService
from vanillamast_core.control.node_core import NodeCore
from vanillamast_core.control.queries import queries
from vanillamast_core.control.server_lease import ServerLease
from vanillamast_core.control.server_report import ServerReport

__all__ = [
    "Append",
    "AttemptEnded",
    "ClearSplit",
    "ControlSettings",
    "CoreSettings",
    "DataPlane",
    "DialFailed",
    "DropService",
    "Effect",
    "EntriesRead",
    "Event",
    "KeyService",
    "LinkDown",
    "LinkUp",
    "MessageReceived",
    "NodeCore",
    "Notice",
    "OutcomeFolded",
    "RecordSubmitted",
    "RequestEffect",
    "ServerLease",
    "ServerReport",
    "ServerReported",
    "SetRoutes",
    "SetServers",
    "SetSplit",
    "StopRequested",
    "Tick",
    "queries",
]
