"""The node: a process beside each instance's backend server.

A request takes two hops. On the first hop, `Gateway` runs on the caller's
machine and selects a backend server. On the second hop, `ServerExecutor` in
that server's node runs the request within the server's limits. `Mesh` connects
the nodes, `OperatorStateSync` follows the operator's configuration and
`MoveController` moves traffic between server versions. A deployment implements
`Store`, `ServerApi` and `SettingsSource`, which reads `SidecarSettings`.
"""

from vanillamast_sidecar.errors import SidecarError
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.membership.heartbeat import Heartbeat
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.membership.server_api import Deregistration, ServerApi
from vanillamast_sidecar.node import Node
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.operator_state.snapshot import Snapshot
from vanillamast_sidecar.operator_state.store import (
    MoveStates,
    OperatorUpdate,
    Store,
)
from vanillamast_sidecar.rollouts.move_spec import MoveSpec
from vanillamast_sidecar.rollouts.move_state import MoveState
from vanillamast_sidecar.routing.route import Route
from vanillamast_sidecar.settings import Address, Bounds, SidecarSettings
from vanillamast_sidecar.settings_source import SettingsSource

__all__ = [
    "Address",
    "Bounds",
    "Deregistration",
    "EventLogger",
    "FieldNames",
    "Heartbeat",
    "MoveSpec",
    "MoveState",
    "MoveStates",
    "Node",
    "NodeRecord",
    "OperatorUpdate",
    "Route",
    "ServerApi",
    "SettingsSource",
    "SidecarError",
    "SidecarSettings",
    "Snapshot",
    "Store",
]
