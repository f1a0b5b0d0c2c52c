"""This node's share of the fleet-wide retry budget."""

from collections import deque


class RetryBudget:
    """Bounds further attempts by first attempts within a sliding window.

    Attributes:
      ratio: Further attempts for each first one.
      allowance: Further attempts in a window beside the ratio.
      window_s: Length of the window, in seconds.
      firsts: Times of first attempts.
      repeats: Times of further attempts.
    """

    def __init__(self, ratio: float, allowance: float, window_s: float):
        self.ratio = ratio
        self.allowance = allowance
        self.window_s = window_s
        self.firsts: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def count_first(self, now: float) -> None:
        """Counts a request's first attempt."""
        self.firsts.append(now)
        self._expire(now)

    def take(self, now: float) -> bool:
        """Takes a further attempt; returns False if none is left."""
        self._expire(now)
        limit = self.ratio * len(self.firsts) + self.allowance
        if len(self.repeats) + 1 > limit:
            return False
        self.repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        horizon = now - self.window_s
        for times in (self.firsts, self.repeats):
            while times and times[0] < horizon:
                times.popleft()
