"""A bound on retries as a share of first attempts."""

import dataclasses

from vanillamast_core.requests.settings import RequestSettings


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Attributes:
      settings: Settings of the request path.
      ratio: Retries allowed as a share of first attempts.
      tokens: Retries that are allowed now.
      updated: Monotonic time, in seconds, of the last update; None before
        the first one.
    """

    settings: RequestSettings
    ratio: float = 0.1
    tokens: float = 1.0
    updated: float | None = None

    def first_attempt(self, now: float) -> None:
        """Counts a first attempt."""
        self._add(max(self.ratio, self._floor(now)), now)

    def take(self, now: float) -> bool:
        """Returns whether a retry is allowed now, and counts it if so."""
        self._add(self._floor(now), now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _floor(self, now: float) -> float:
        if self.updated is None:
            return 0.0
        elapsed = max(0.0, now - self.updated)
        return elapsed * self.settings.retry_floor_per_s

    def _add(self, tokens: float, now: float) -> None:
        self.tokens = min(self.settings.retry_burst, self.tokens + tokens)
        self.updated = now
