"""What buffered requests and responses cost the process."""

# A connection that holds less may use all of the account. Ordinary requests
# hold about 15 KB.
SMALL_BYTES = 65_536
# Part of the account that only such connections may use.
SMALL_PART = 32


class MemoryAccount:
    """Limits the memory that the clients of a listener take.

    Sizes are in what bytes cost the process (`memory_costs`).

    Attributes:
      limit: Most bytes at once.
      used: Bytes in use.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.used = 0

    def try_charge(self, size: int, held: int) -> bool:
        """Takes bytes; returns whether there were enough.

        Args:
          size: Bytes to take.
          held: Bytes that the same connection has taken before.
        """
        limit = self.limit
        if held + size > SMALL_BYTES:
            limit -= limit // SMALL_PART
        if self.used + size > limit:
            return False
        self.used += size
        return True

    def charge(self, size: int) -> None:
        """Takes bytes that are in use already."""
        self.used += size

    def release(self, size: int) -> None:
        """Returns bytes."""
        self.used -= size

    def is_exceeded(self) -> bool:
        """Returns whether more is in use than the limit allows."""
        return self.used > self.limit
