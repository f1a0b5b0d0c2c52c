"""Interface of the coordination store."""

import dataclasses
from collections.abc import Callable
from typing import Protocol

from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.operator_state.evacuation import Evacuation
from vanillamast_sidecar.operator_state.snapshot import Snapshot
from vanillamast_sidecar.rollouts.move_spec import MoveSpec
from vanillamast_sidecar.rollouts.move_state import MoveState

# Called when a part of an answer arrives.
ProgressHandler = Callable[[], None]


def ignore_progress() -> None:
    """Does nothing when a part of an answer arrives."""


@dataclasses.dataclass(slots=True)
class OperatorUpdate:
    """What the operator has published since the last read.

    Attributes:
      next_offset: Offset of the next read.
      snapshot: Newest configuration, None if there is no new one.
      move_specs: New move specs.
      evacuations: New records on evacuations, the newest of each failure
        domain.
      complete: Whether the operator's whole state was read: a failure domain
        without a record is not evacuated.
      era: Era of the store that the offsets belong to.
      end_offset: End of the stream at the time of the read, 0 if unknown.
    """

    next_offset: int
    snapshot: Snapshot | None
    move_specs: list[MoveSpec]
    evacuations: list[Evacuation] = dataclasses.field(default_factory=list)
    complete: bool = False
    era: int = 0
    end_offset: int = 0

    @property
    def is_partial(self) -> bool:
        """Returns whether the stream had records that were not read."""
        return self.end_offset > self.next_offset


@dataclasses.dataclass(slots=True)
class MoveStates:
    """The recorded states of moves.

    Attributes:
      states: State, new server version and move id, by service.
      end_offset: End of the stream, as the condition of a later write.
      era: Era of the store that they were read in.
    """

    states: dict[str, tuple[MoveState, str, int]]
    end_offset: int
    era: int = 0


class Store(Protocol):
    """Calls to the coordination store; each raises `StoreError` on failure.

    The store may return from a copy that is some seconds old. Its era, a
    number, rises with each return. Offsets of an earlier era say nothing
    about records of a later one.

    Attributes:
      on_era: Called with the era when a higher one becomes known.
    """

    on_era: Callable[[int], None]

    @property
    def era(self) -> int:
        """Returns the highest era that is known."""
        ...

    def note_era(self, era: int) -> None:
        """Learns of an era from another node.

        Answers of earlier eras fail with `StoreEraError` from then on.
        """
        ...

    async def read_operator_state(
        self, on_progress: ProgressHandler
    ) -> OperatorUpdate:
        """Returns the newest configuration and the newest move specs."""
        ...

    async def poll_operator(
        self, offset: int, wait_s: float, on_progress: ProgressHandler
    ) -> OperatorUpdate:
        """Returns what was published from an offset on; waits for a change.

        The size of a response is limited, whatever was published meanwhile:
        `OperatorUpdate.is_partial` says that records are left.
        """
        ...

    async def put_node(self, record: NodeRecord) -> None:
        """Stores a node's record and replaces its previous one."""
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
        """Records a move's state if nothing was recorded since a read.

        Raises:
          StoreConflictError: Something was recorded after `end_offset`.
        """
        ...

    def decode_snapshot(self, raw: bytes) -> Snapshot:
        """Decodes a configuration that another node has sent.

        Raises:
          InvalidConfigurationError: The bytes are not a configuration.
        """
        ...

    def reset(self) -> None:
        """Closes all connections to the store."""
        ...
