"""Waits between retries of calls to the platform."""

import random

from vanillamast_node.platform_settings import PlatformSettings


class Backoff:
    """Exponential backoff with full jitter.

    Attributes:
      settings: First and longest wait.
      failures: Consecutive failures.
    """

    def __init__(self, settings: PlatformSettings, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self.failures = 0

    def next_wait_s(self) -> float:
        """Counts a failure and returns the seconds until the next retry."""
        longest = min(
            self.settings.max_backoff_s,
            self.settings.backoff_s * 2**self.failures,
        )
        self.failures += 1
        return self.rng.uniform(0.0, longest)

    def reset(self) -> None:
        """Resets the failure count after a success."""
        self.failures = 0
