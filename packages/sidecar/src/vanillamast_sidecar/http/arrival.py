"""How long a response may take to arrive once it has begun."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Arrival:
    """Time for a response whose size is not known in advance.

    Attributes:
      base_s: Time from its first byte, in seconds.
      bytes_per_s: Rate at which each received byte extends that time.
    """

    base_s: float
    bytes_per_s: float

    def get_deadline(self, began_at: float, received_bytes: int) -> float:
        """Returns when the response has to be complete.

        Args:
          began_at: When its first byte arrived, in loop time.
          received_bytes: Bytes that have arrived.
        """
        return began_at + self.base_s + received_bytes / self.bytes_per_s
