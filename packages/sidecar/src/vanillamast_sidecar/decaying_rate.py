"""A rate that fades when nothing happens."""

import math

HALF_LIFE_S = 1.0  # Bursts of callers last a few seconds.


class DecayingRate:
    """Amount a second, exponentially weighted by age.

    Attributes:
      total: Sum of the amounts, weighted, at the last one.
      at: When that was, in loop time.
    """

    def __init__(self) -> None:
        self.total = 0.0
        self.at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Counts an amount."""
        self.total = self._faded(now) + amount
        self.at = now

    def value(self, now: float) -> float:
        """Returns the amount a second now."""
        return self._faded(now) * math.log(2.0) / HALF_LIFE_S

    def _faded(self, now: float) -> float:
        age_s = max(0.0, now - self.at)
        return self.total * math.exp2(-age_s / HALF_LIFE_S)
