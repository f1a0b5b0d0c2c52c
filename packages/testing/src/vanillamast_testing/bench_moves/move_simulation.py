"""The state of one trial's move, which policies read and change."""

import msgspec
from vanillamast_core.configuration import MoveSpec
from vanillamast_core.journal import AdvanceMove, Record, SettleMove, TakeBack
from vanillamast_core.moves import Move, MoveState

from vanillamast_testing.bench_moves.deployment import Deployment

START_WALL_S = 1_000_000.0
FENCING_TOKEN = 5


class MoveSimulation:
    """A move and the state that follows from the records about it.

    Attributes:
      deployment: The service.
      move: Current state of the move.
      offset: Offset of the last record.
      full_share_at: Wall time at which share 1 was reached.
      ended_at: Wall time at which the move reached a final state.
    """

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self.offset = 1
        self.full_share_at: float | None = None
        self.ended_at: float | None = None
        self.move = Move(
            name="move",
            started_at=1,
            spec=MoveSpec(
                service="service",
                old="1",
                new="2",
                deadline=START_WALL_S + deployment.deadline_s,
                watch_s=deployment.watch_s,
                on_deadline=deployment.on_deadline,
            ),
            changed_at=1,
        )

    def apply_record(self, record: Record, wall: float) -> None:
        """Applies a record as the journal does."""
        if self.move.state.final:
            return
        if isinstance(record, TakeBack):
            self.end_move(MoveState.TAKEN_BACK, wall, record.reason)
        elif isinstance(record, SettleMove):
            if self.move.state is MoveState.DONE:
                self.end_move(MoveState.SETTLED, wall, "")
        elif isinstance(record, AdvanceMove):
            self.advance_move(record, wall)

    def advance_move(self, record: AdvanceMove, wall: float) -> None:
        """Advances the move to its next step."""
        move = self.move
        if record.from_step != move.step or record.token != FENCING_TOKEN:
            return
        self.offset += 1
        last = move.step + 2 == len(move.spec.steps)
        self.move = msgspec.structs.replace(
            move,
            step=move.step + 1,
            state=MoveState.DONE if last else MoveState.RUNNING,
            changed_at=self.offset,
            baseline_failure_ratio=record.baseline_failure_ratio,
            baseline_slow_ms=record.baseline_slow_ms,
        )
        if last:
            self.full_share_at = wall

    def end_move(self, state: MoveState, wall: float, reason: str) -> None:
        """Ends the move."""
        self.offset += 1
        self.ended_at = wall
        self.move = msgspec.structs.replace(
            self.move, state=state, reason=reason, changed_at=self.offset
        )
