"""Keeps the rate of requests to a server within the limit that it names."""

# Requests that may be sent at once after a pause, in seconds of the limit.
BURST_S = 0.5
# One request at least may always be sent at once.
MIN_BURST = 1.0
# A lower limit counts as this one, in requests a second: without requests there
# are no responses, and so nothing would tell when the limit ends.
MIN_RATE_PER_S = 0.5
# A limit ends with a response that does not name it, unless another one named
# it within this time: responses may overtake each other.
LIMIT_HOLD_S = 0.5


class RateLimiter:
    """A token bucket whose rate the server may change at any time.

    Without a limit every request may be sent at once.

    Attributes:
      limit_per_s: Requests a second, None without a limit.
      tokens: Requests that could be sent at once when the bucket was updated.
      updated_at: When that was, in loop time.
      named_at: When a response last named a limit, in loop time.
    """

    def __init__(self) -> None:
        self.limit_per_s: float | None = None
        self.tokens = 0.0
        self.updated_at = 0.0
        self.named_at = 0.0

    def apply_limit(self, limit_per_s: float | None, now: float) -> bool:
        """Applies what a response says; returns whether the limit changed.

        Args:
          limit_per_s: The limit, None if the response names none.
          now: Loop time, in seconds.
        """
        if limit_per_s is not None:
            limit_per_s = max(MIN_RATE_PER_S, limit_per_s)
            self.named_at = now
        elif now - self.named_at < LIMIT_HOLD_S:
            return False
        if limit_per_s == self.limit_per_s:
            return False
        # What the old limit has earned is kept; without one that is nothing.
        self.tokens = self._tokens_at(now)
        self.updated_at = now
        self.limit_per_s = limit_per_s
        self.tokens = self._tokens_at(now)
        return True

    def try_acquire(self, now: float) -> bool:
        """Takes a token and returns True, or False if there is none."""
        if self.limit_per_s is None:
            return True
        tokens = self._tokens_at(now)
        if tokens < 1.0:
            return False
        self.tokens = tokens - 1.0
        self.updated_at = now
        return True

    def give_back(self) -> None:
        """Returns the token of a request that was not sent."""
        if self.limit_per_s is not None:
            self.tokens += 1.0

    def delay_s(self, now: float, ahead: int = 0) -> float:
        """Returns when a request may be sent, in seconds from now.

        Args:
          now: Loop time, in seconds.
          ahead: Number of requests that are sent before it.
        """
        if self.limit_per_s is None:
            return 0.0
        missing = ahead + 1.0 - self._tokens_at(now)
        return max(0.0, missing / self.limit_per_s)

    def _tokens_at(self, now: float) -> float:
        if self.limit_per_s is None:
            return 0.0
        earned = max(0.0, now - self.updated_at) * self.limit_per_s
        most = max(MIN_BURST, BURST_S * self.limit_per_s)
        return min(most, self.tokens + earned)
