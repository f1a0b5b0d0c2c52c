"""A time in which a server names a rate limit."""

import dataclasses
import math


@dataclasses.dataclass(slots=True)
class LimitPeriod:
    """The limit that a server names in its responses for some time.

    Attributes:
      instance: Id of the server.
      limit_per_s: Requests a second that it accepts.
      arrivals: Times at which requests arrived at the server.
      started_at: When it began to name the limit, in monotonic seconds.
      ended_at: When it ended to do so; infinity while it goes on.
    """

    instance: str
    limit_per_s: float
    arrivals: list[float]
    started_at: float
    ended_at: float = math.inf
