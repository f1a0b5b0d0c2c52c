"""This node's share of the fleet-wide retry budget."""

from collections import deque


class RetryBudget:
    """Bounds further attempts by first attempts within a sliding window.

    Attributes:
      ratio: Further attempts for each first one.
      allowance: Further attempts in a window beside the ratio.
      window_s: Length of the window, in seconds.
      first_attempts: Times of first attempts.
      retries: Times of further attempts.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float):
        self.ratio = ratio
        self.allowance = allowance
        self.window_s = window_s
        self.first_attempts: deque[float] = deque()
        self.retries: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Counts a request's first attempt."""
        self.first_attempts.append(now)
        self._remove_expired(now)

    def try_acquire(self, now: float) -> bool:
        """Takes a further attempt; returns False if none is left."""
        self._remove_expired(now)
        limit = self.ratio * len(self.first_attempts) + self.allowance
        if len(self.retries) + 1 > limit:
            return False
        self.retries.append(now)
        return True

    def _remove_expired(self, now: float) -> None:
        horizon = now - self.window_s
        for times in (self.first_attempts, self.retries):
            while times and times[0] < horizon:
                times.popleft()
