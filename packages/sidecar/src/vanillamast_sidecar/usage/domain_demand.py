"""The demand of an organisation in one failure domain."""

import dataclasses
import math

# Smoothing of the demand that shares follow. Shorter, and the jitter of the
# reports shows; longer, and a jump is followed late.
FAST_S = 0.4
# Smoothing of the demand that decides on the parts of a cap in a partition. The
# sides note it at different times, so it must not follow a jump quickly.
SLOW_S = 6.0


@dataclasses.dataclass(slots=True)
class DomainDemand:
    """Smoothed rate of the requests asked for.

    Attributes:
      fast_per_s: Rate that shares follow.
      slow_per_s: Rate that decides on parts of a cap.
    """

    fast_per_s: float = 0.0
    slow_per_s: float = 0.0

    def add(self, asked: float, elapsed_s: float) -> None:
        """Adds the requests of an interval."""
        rate_per_s = asked / elapsed_s
        self.fast_per_s += -math.expm1(-elapsed_s / FAST_S) * (
            rate_per_s - self.fast_per_s
        )
        self.slow_per_s += -math.expm1(-elapsed_s / SLOW_S) * (
            rate_per_s - self.slow_per_s
        )
