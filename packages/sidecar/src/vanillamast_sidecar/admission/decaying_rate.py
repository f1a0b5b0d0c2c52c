"""A rate that decays with time."""

import math

HALF_LIFE_S = 1.0  # Bursts of callers last a few seconds.


class DecayingRate:
    """Amount per second, exponentially weighted by age.

    Attributes:
      half_life_s: Age at which an amount counts half.
      decayed_total: Weighted sum of the amounts when the last one was added.
      updated_at: When the last amount was added, in loop time.
    """

    def __init__(self, half_life_s: float = HALF_LIFE_S):
        self.half_life_s = half_life_s
        self.decayed_total = 0.0
        self.updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Adds an amount."""
        self.decayed_total = self._decay_to(now) + amount
        self.updated_at = now

    def value(self, now: float) -> float:
        """Returns the amount per second at a time."""
        return self._decay_to(now) * math.log(2.0) / self.half_life_s

    def _decay_to(self, now: float) -> float:
        age_s = max(0.0, now - self.updated_at)
        return self.decayed_total * math.exp2(-age_s / self.half_life_s)
