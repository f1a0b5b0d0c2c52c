"""A rate that fades when nothing happens."""

import math

HALF_LIFE_S = 1.0  # Bursts of callers last a few seconds.


class DecayingRate:
    """Amount a second, exponentially weighted by age.

    Attributes:
      decayed_total: Sum of the amounts, weighted, at the last one.
      updated_at: When that was, in loop time.
    """

    def __init__(self) -> None:
        self.decayed_total = 0.0
        self.updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Counts an amount."""
        self.decayed_total = self._decay_to(now) + amount
        self.updated_at = now

    def value(self, now: float) -> float:
        """Returns the amount a second now."""
        return self._decay_to(now) * math.log(2.0) / HALF_LIFE_S

    def _decay_to(self, now: float) -> float:
        age_s = max(0.0, now - self.updated_at)
        return self.decayed_total * math.exp2(-age_s / HALF_LIFE_S)
