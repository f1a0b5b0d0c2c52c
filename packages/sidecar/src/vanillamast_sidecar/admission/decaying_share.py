"""A share of failed events that decays while there are none."""

import math

EVENT_WEIGHT = 0.12  # Averages over about the last 16 events.
HALF_LIFE_S = 2.0  # A server avoided for its failures is retried in seconds.


class DecayingShare:
    """Exponentially weighted share that also decays with time.

    Attributes:
      share: Share at the last event.
      updated_at: Time of the last event, in loop time.
    """

    def __init__(self) -> None:
        self.share = 0.0
        self.updated_at = 0.0

    def add(self, failed: bool, now: float) -> None:
        """Counts an event."""
        share = self.value(now) if failed else self.share
        self.share = share + ((1.0 if failed else 0.0) - share) * EVENT_WEIGHT
        self.updated_at = now

    def value(self, now: float) -> float:
        """Returns the share at a time."""
        if self.share < 0.001:
            return 0.0
        age = max(0.0, now - self.updated_at)
        return self.share * math.exp2(-age / HALF_LIFE_S)
