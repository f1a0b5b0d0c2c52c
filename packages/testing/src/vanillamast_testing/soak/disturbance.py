"""Something that a soak did to the fleet."""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class Disturbance:
    """A signal, a fault or a change, while it lasts.

    Attributes:
      kind: Name of the action.
      target: Machine that it was done to, "" for none in particular.
      started_at: When it began, in monotonic seconds.
      ended_at: When its effect was over; infinity while it lasts.
    """

    kind: str
    target: str
    started_at: float
    ended_at: float = math.inf

    def overlaps(self, start: float, end: float) -> bool:
        """Returns whether it lasted at any time of a span."""
        return self.started_at <= end and self.ended_at >= start
