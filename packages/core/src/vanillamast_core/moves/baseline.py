"""What the old version did before the last step."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Baseline:
    """The old version's recent outcomes.

    Attributes:
      failure_ratio: Its worst failure ratio over one window.
      slow_ms: Its 90th percentile latency in milliseconds, 0 if unknown.
    """

    failure_ratio: float = 0.0
    slow_ms: float = 0.0
