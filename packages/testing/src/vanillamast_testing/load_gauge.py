"""The load that a fake backend server reports."""

import collections

from vanillamast_testing.backend_settings import BackendSettings, LoadReport

CONSTANT_REPORTS = {LoadReport.IDLE: 0.0, LoadReport.BUSY: 1.0}


class LoadGauge:
    """Reports the load with a lag, or a constant that may mislead.

    Attributes:
      settings: What to report, and how late.
      samples: Measured loads as (time, load), the oldest first.
    """

    def __init__(self, settings: BackendSettings):
        self.settings = settings
        self.samples: collections.deque[tuple[float, float]] = (
            collections.deque([(0.0, 0.0)])
        )

    def measure(self, load: float, now: float) -> None:
        """Records the load at a time."""
        self.samples.append((now, load))
        self._drop_outdated(now)

    def report(self, now: float) -> float:
        """Returns the load to report, from 0 to 1."""
        constant = CONSTANT_REPORTS.get(self.settings.load_report)
        if constant is not None:
            return constant
        self._drop_outdated(now)
        return self.samples[0][1]

    def _drop_outdated(self, now: float) -> None:
        wanted = now - self.settings.load_lag_s
        while len(self.samples) > 1 and self.samples[1][0] <= wanted:
            self.samples.popleft()
