"""Delay of messages by the sender's monotonic clock."""

BUCKET_S = 2.0  # A clock shift is no longer counted after two buckets.


class ClockOffset:
    """Estimates the delay of one sender's messages without a shared clock.

    The smallest recent difference between the receiver's and the sender's
    clock stands for a message without delay.

    Attributes:
      current_min: Smallest difference in the current bucket.
      previous_min: Smallest difference in the previous bucket.
      bucket_end: End of the current bucket, by the receiver's clock.
    """

    def __init__(self) -> None:
        self.current_min = float("inf")
        self.previous_min = float("inf")
        self.bucket_end = 0.0

    def excess_delay_s(self, sent_s: float, now: float) -> float:
        """Returns how much longer this message took than the fastest one."""
        difference = now - sent_s
        if now >= self.bucket_end:
            self.previous_min = self.current_min
            self.current_min = float("inf")
            self.bucket_end = now + BUCKET_S
        self.current_min = min(self.current_min, difference)
        return difference - min(self.current_min, self.previous_min)
