"""A limit on retries as a share of first attempts."""

import dataclasses

from vanillamast_core.requests.settings import RequestSettings


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Token bucket: first attempts add tokens and each retry takes one.

    Attributes:
      settings: Settings of the request path.
      ratio: Retries allowed as a share of first attempts.
      tokens: Number of retries that are allowed now.
      updated_at: Monotonic time, in seconds, of the last update; None before
        the first one.
    """

    settings: RequestSettings
    ratio: float = 0.1
    updated_at: float | None = None
    tokens: float = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.tokens = self.settings.retry_burst

    def record_first_attempt(self, now: float) -> None:
        """Counts a first attempt."""
        self._add_tokens(max(self.ratio, self._floor_tokens(now)), now)

    def try_take(self, now: float) -> bool:
        """Takes a token for a retry; returns False if there is none."""
        self._add_tokens(self._floor_tokens(now), now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def _floor_tokens(self, now: float) -> float:
        if self.updated_at is None:
            return 0.0
        elapsed = max(0.0, now - self.updated_at)
        return elapsed * self.settings.retry_floor_per_s

    def _add_tokens(self, tokens: float, now: float) -> None:
        self.tokens = min(self.settings.retry_burst, self.tokens + tokens)
        self.updated_at = now
