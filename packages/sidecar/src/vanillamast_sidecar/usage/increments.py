"""What was added to the counts of a failure domain."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Increments:
    """Requests of an interval.

    Attributes:
      elapsed_s: Length of the interval, in seconds.
      counts: Requests asked for and admitted, by organisation.
    """

    elapsed_s: float
    counts: dict[int, tuple[float, float]]
