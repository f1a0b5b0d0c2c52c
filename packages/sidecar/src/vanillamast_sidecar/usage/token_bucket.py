"""A token bucket whose limits may change at any time."""


class TokenBucket:
    """Tokens that are earned at a rate, up to a bound.

    Attributes:
      rate_per_s: Tokens earned a second.
      burst: Most tokens.
      level: Tokens when the bucket was updated.
      updated_at: When that was, in seconds.
    """

    def __init__(
        self, rate_per_s: float, burst: float, level: float, now: float
    ):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(level, burst)
        self.updated_at = now

    def refill(self, now: float) -> float:
        """Adds what was earned; returns the level."""
        earned = max(0.0, now - self.updated_at) * self.rate_per_s
        self.level = min(self.burst, self.level + earned)
        self.updated_at = now
        return self.level

    def set_limits(self, rate_per_s: float, burst: float, now: float) -> None:
        """Replaces the limits; a level above the new bound is cut to it."""
        self.refill(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = min(self.level, burst)

    def try_take(self, now: float) -> bool:
        """Takes a token and returns True, or False if there is none."""
        if self.refill(now) < 1.0:
            return False
        self.level -= 1.0
        return True

    def give_back(self) -> None:
        """Returns a token that was not used."""
        self.level = min(self.burst, self.level + 1.0)
