"""A move and its progress, as derived from the log."""

import enum

import msgspec

from vanillamast_core.configuration.move_spec import MoveSpec


class MoveState(enum.StrEnum):
    """State of a move."""

    RUNNING = "running"
    HELD = "held"
    DONE = "done"  # The share is 1; the new version is still being watched.
    SETTLED = "settled"
    TAKEN_BACK = "taken_back"
    STOPPED = "stopped"

    @property
    def final(self) -> bool:
        """Whether the move has ended and no record can change it."""
        return self in FINAL_STATES


FINAL_STATES = frozenset(
    {MoveState.SETTLED, MoveState.TAKEN_BACK, MoveState.STOPPED}
)


class Move(msgspec.Struct, array_like=True, frozen=True):
    """A shift of a service's traffic to a new version, and its progress.

    Attributes:
      name: Name of the move.
      started_at: Offset of the record that started it, its unique identity.
      spec: What the operator asked for.
      state: State of the move.
      step: Index into `spec.steps`, -1 before the first step.
      changed_at: Offset of the last record that changed it.
      reason: Why it ended, if it did.
      baseline_failure_ratio: Old version's failure ratio at the last step.
      baseline_slow_ms: Old version's 90th percentile latency at the last step.
    """

    name: str
    started_at: int
    spec: MoveSpec
    state: MoveState = MoveState.RUNNING
    step: int = -1
    changed_at: int = 0
    reason: str = ""
    baseline_failure_ratio: float = 0.0
    baseline_slow_ms: float = 0.0

    @property
    def share(self) -> float:
        """Authorized share of the new version, from 0 to 1."""
        if self.state in (MoveState.TAKEN_BACK, MoveState.STOPPED):
            return 0.0
        if self.state is MoveState.SETTLED:
            return 1.0
        return self.spec.steps[self.step] if self.step >= 0 else 0.0
