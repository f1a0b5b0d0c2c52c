"""This node's share of the fleet-wide retry budget."""

from collections import deque


class RetryBudget:
    """Limits retries to a ratio of the requests within a sliding window.

    Attributes:
      ratio: Retries allowed for each first attempt.
      allowance: Retries allowed in each window on top of the ratio.
      window_s: Length of the window, in seconds.
      first_attempts: Times of first attempts within the window.
      retries: Times of retries within the window.
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
        """Counts a retry and returns True, or False if the budget is spent."""
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
