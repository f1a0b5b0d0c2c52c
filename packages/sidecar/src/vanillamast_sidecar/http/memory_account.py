"""What buffered requests and responses cost the process."""

from collections.abc import Iterable

# A connection that holds less may use all of the account. Ordinary requests
# hold about 15 KB.
SMALL_BYTES = 65_536
# Part of the account that only such connections may use.
SMALL_PART = 32


class MemoryAccount:
    """Limits the memory that one kind of clients takes.

    Sizes are in what bytes cost the process (`memory_costs`).

    Attributes:
      size: Most bytes at once, in this account and those of its pool.
      reserved: Bytes that the other accounts of the pool may not use.
      pool: Accounts that share the size.
      used: Bytes in use.
    """

    def __init__(
        self,
        size: int,
        reserved: int = 0,
        pool: Iterable["MemoryAccount"] = (),
    ):
        self.size = size
        self.reserved = reserved
        self.pool = pool
        self.used = 0

    @property
    def limit(self) -> int:
        """Returns how many bytes may be in use now."""
        return self.size - sum(
            max(other.used, other.reserved)
            for other in self.pool
            if other is not self
        )

    @property
    def free(self) -> int:
        """Returns how many more bytes may be used."""
        return max(0, self.limit - self.used)

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
