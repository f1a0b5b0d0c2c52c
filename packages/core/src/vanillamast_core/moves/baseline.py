"""Failure ratio and latency of the old version, to compare the new one with."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Baseline:
    """Summary of the old version's recent outcomes.

    Attributes:
      failure_ratio: Highest failure ratio over one window.
      slow_ms: Its 90th percentile latency in milliseconds, 0 if unknown.
    """

    failure_ratio: float = 0.0
    slow_ms: float = 0.0
