"""Age of messages by the sender's monotonic clock."""

BUCKET_S = 2.0  # A shift of a clock is forgotten after two buckets.


class ClockOffset:
    """Estimates how long messages of one sender were on their way.

    The smallest difference between the two clocks of recent messages stands
    for a message without delay.

    Attributes:
      current_min: Smallest difference in the running bucket.
      previous_min: Smallest difference in the bucket before.
      bucket_end: End of the running bucket.
    """

    def __init__(self) -> None:
        self.current_min = float("inf")
        self.previous_min = float("inf")
        self.bucket_end = 0.0

    def excess_delay_s(self, sent_s: float, now: float) -> float:
        """Returns how much longer than the fastest message this one took."""
        difference = now - sent_s
        if now >= self.bucket_end:
            self.previous_min = self.current_min
            self.current_min = float("inf")
            self.bucket_end = now + BUCKET_S
        self.current_min = min(self.current_min, difference)
        return difference - min(self.current_min, self.previous_min)
