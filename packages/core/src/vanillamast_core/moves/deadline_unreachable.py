"""Event of a move that cannot be done in time."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class DeadlineUnreachable:
    """The minimum dwell of the remaining steps ends after the deadline.

    Attributes:
      move: Name of the move.
      started_at: Identity of the move.
      deadline: Wall time at which it should be done.
      earliest: Wall time at which it can be done.
    """

    move: str
    started_at: int
    deadline: float
    earliest: float
