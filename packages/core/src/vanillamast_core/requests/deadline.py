"""The time by which a request must have ended."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Deadline:
    """A point in monotonic time.

    Attributes:
      at: Monotonic time in seconds.
    """

    at: float

    @classmethod
    def earliest(
        cls, timeout_ms: float, remaining_ms: float | None, now: float
    ) -> "Deadline":
        """Returns the earlier of the route's timeout and the caller's deadline.

        Args:
          timeout_ms: Timeout of the route in milliseconds.
          remaining_ms: Time until the caller's deadline, None if it sent none.
          now: Monotonic time in seconds.
        """
        if remaining_ms is not None and remaining_ms < timeout_ms:
            timeout_ms = remaining_ms
        return cls(now + timeout_ms / 1000.0)

    def remaining_s(self, now: float) -> float:
        """Returns the seconds that are left, not below 0."""
        return max(0.0, self.at - now)

    def remaining_ms(self, now: float) -> int:
        """Returns the whole milliseconds that are left, not below 0."""
        return max(0, int((self.at - now) * 1000.0))

    def expired(self, now: float) -> bool:
        """Returns whether the deadline has passed."""
        return now >= self.at
