"""Event of a move that cannot meet its deadline."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class DeadlineUnreachable:
    """The minimum dwell times of the remaining steps end after the deadline.

    Attributes:
      move: Name of the move.
      started_at: Identity of the move.
      deadline: Wall time by which the move should reach share 1.
      earliest: Earliest wall time at which it can.
    """

    move: str
    started_at: int
    deadline: float
    earliest: float
