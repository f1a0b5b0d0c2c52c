"""What the node needs from a coordination store."""

import dataclasses
from typing import Protocol

from vanillamast_sidecar.move_spec import MoveSpec
from vanillamast_sidecar.move_state import MoveState
from vanillamast_sidecar.node_record import NodeRecord
from vanillamast_sidecar.snapshot import Snapshot


@dataclasses.dataclass(slots=True)
class OperatorUpdate:
    """What the operator has published.

    Attributes:
      next_offset: Where to read on.
      snapshot: Newest configuration, None if there is no new one.
      move_specs: New orders.
    """

    next_offset: int
    snapshot: Snapshot | None
    move_specs: list[MoveSpec]


@dataclasses.dataclass(slots=True)
class MoveStates:
    """The recorded states of moves.

    Attributes:
      states: State, version and order id by service.
      end_offset: Position to which a conditional write refers.
    """

    states: dict[str, tuple[MoveState, str, int]]
    end_offset: int


class Store(Protocol):
    """Calls to the store; each raises a `StoreError` if it fails."""

    async def read_operator_state(self) -> OperatorUpdate:
        """Returns the newest configuration and all newest orders."""
        ...

    async def poll_operator(self, offset: int, wait_s: float) -> OperatorUpdate:
        """Returns what was published from an offset on; waits for some."""
        ...

    async def put_node(self, record: NodeRecord) -> None:
        """Stores a node's record in place of its last one."""
        ...

    async def list_nodes(self) -> list[NodeRecord]:
        """Returns the newest record of each node."""
        ...

    async def read_move_states(self) -> MoveStates:
        """Returns the recorded states of moves."""
        ...

    async def put_move_state(
        self, spec: MoveSpec, state: MoveState, end_offset: int
    ) -> None:
        """Records a move's state if nothing was recorded since.

        Raises:
          StoreConflictError: Something was recorded after `end_offset`.
        """
        ...

    async def probe(self) -> None:
        """Checks that the store answers, at the least price."""
        ...

    def decode_snapshot(self, raw: bytes) -> Snapshot:
        """Decodes a configuration that another node handed on.

        Raises:
          InvalidConfigurationError: The bytes are no configuration.
        """
        ...

    def reset(self) -> None:
        """Drops all connections to the store."""
        ...
