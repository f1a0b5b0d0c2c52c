"""A driver's local progress of a move."""

import dataclasses

from vanillamast_core.journal.record import Record
from vanillamast_core.moves.move import Move


@dataclasses.dataclass(slots=True)
class MoveProgress:
    """A move's current step as one driver observed it.

    Times are on the driver's monotonic clock; `changed_at` is a log offset.

    Attributes:
      changed_at: `Move.changed_at` of the observed change.
      entered_at: When the driver observed the change.
      slot_s: Time planned for the step.
      latest_step_at: When the next step is taken even if the e-value is at
        least `DriverSettings.caution`.
      proposal: Record that was proposed at this step.
      proposed_at: When it was last proposed.
    """

    changed_at: int
    entered_at: float
    slot_s: float
    latest_step_at: float
    proposal: Record | None = None
    proposed_at: float = 0.0

    def dwell_s(self, now: float) -> float:
        """Returns the time spent at this step."""
        return now - self.entered_at


def plan_slot_s(move: Move, wall: float) -> float:
    """Returns the time for a step, an equal part of what is left."""
    remaining = len(move.spec.steps) - max(move.step, 0)
    left = move.spec.deadline - wall
    return max(move.spec.min_dwell_s, left / max(remaining, 1))
