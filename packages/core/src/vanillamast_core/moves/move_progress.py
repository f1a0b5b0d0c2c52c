"""What a driver remembers about a move."""

import dataclasses

from vanillamast_core.journal.record import Record
from vanillamast_core.moves.move import Move


@dataclasses.dataclass(slots=True)
class MoveProgress:
    """A move's current step as one driver saw it.

    Attributes:
      changed_at: `Move.changed_at` when it was seen to change.
      entered_at: When the driver saw the change, on its own clock.
      slot_s: Time planned for the step.
      latest_step_at: When a doubtful step is taken at the latest, on the
        driver's own clock.
      proposal: Record that was proposed at this step.
      proposed_at: When it was proposed last, on the driver's own clock.
    """

    changed_at: int
    entered_at: float
    slot_s: float
    latest_step_at: float
    proposal: Record | None = None
    proposed_at: float = 0.0

    def dwell_s(self, now: float) -> float:
        """Returns the time at this step in seconds."""
        return now - self.entered_at


def plan_slot_s(move: Move, wall: float) -> float:
    """Returns the time for a step, from an equal division of what is left."""
    remaining = len(move.spec.steps) - max(move.step, 0)
    left = move.spec.deadline - wall
    return max(move.spec.min_dwell_s, left / max(remaining, 1))
