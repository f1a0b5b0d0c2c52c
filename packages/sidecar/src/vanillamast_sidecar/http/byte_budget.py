"""A number of bytes that connections share."""


class ByteBudget:
    """Limits the bytes that all connections of a process keep together.

    Attributes:
      limit: Most bytes at once.
      used: Bytes in use.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.used = 0

    def try_acquire(self, size: int) -> bool:
        """Reserves bytes; returns whether there were enough."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def release(self, size: int) -> None:
        """Returns reserved bytes."""
        self.used -= size
