"""Latency histogram with exponential decay."""

from vanillamast_core.moves.latency_bins import LAST_BIN

DECAY = 0.97  # Factor per bucket; half the weight is left after 23 buckets.


class DecayingLatencyHistogram:
    """A histogram in which the counts of older buckets weigh less.

    Attributes:
      weights: Weight by latency bin.
      last_bucket: The latest bucket that was added.
    """

    __slots__ = ("last_bucket", "weights")

    def __init__(self) -> None:
        self.weights: dict[int, float] = {}
        self.last_bucket = -1

    def add(self, bucket: int, latency: dict[int, int]) -> None:
        """Adds the counts of a bucket."""
        if bucket > self.last_bucket >= 0:
            factor = DECAY ** min(bucket - self.last_bucket, 1000)
            for index in self.weights:
                self.weights[index] *= factor
        self.last_bucket = max(self.last_bucket, bucket)
        for index, count in latency.items():
            self.weights[index] = self.weights.get(index, 0.0) + count

    def slow_bin(self, quantile: float, min_total: int) -> int | None:
        """Returns the first bin above a quantile.

        Args:
          quantile: Share of responses that must be below the bin.
          min_total: Minimum weight of all responses.

        Returns:
          The bin, or None if the responses are too few.
        """
        total = sum(self.weights.values())
        if total < min_total:
            return None
        return first_bin_above(self.weights, quantile * total)


def first_bin_above(weights: dict[int, float], wanted: float) -> int:
    """Returns the bin after the one where the cumulative weight is reached."""
    below = 0.0
    for index in sorted(weights):
        below += weights[index]
        if below >= wanted:
            return index + 1
    return LAST_BIN + 1
