"""A test double of the journal."""

import hashlib

import msgspec
from vanillamast_core.journal import LogEntry

TAIL_ENTRIES = 1024


class MemoryEntryStore:
    """Reduces entries to a chained digest; implements `EntryStore`.

    Attributes:
      offset: Offset of the last applied entry.
      chain: Digest over all applied entries, in their order.
      retained: Entries for `tail`.
      padding: Bytes added to each snapshot, to make it large.
    """

    def __init__(
        self, tail_entries: int = TAIL_ENTRIES, padding: int = 0
    ) -> None:
        self.offset = 0
        self.chain = b""
        self.retained: list[LogEntry] = []
        self.tail_entries = tail_entries
        self.padding = padding

    def apply(self, entry: LogEntry) -> object:
        """Applies the next entry.

        Raises:
          ValueError: The entry is not the next one.
        """
        if entry.offset != self.offset + 1:
            raise ValueError(f"{entry.offset} after {self.offset}")
        self.offset = entry.offset
        self.chain = hashlib.blake2b(
            self.chain + entry.data, digest_size=16
        ).digest()
        self.retained.append(entry)
        if len(self.retained) > self.tail_entries:
            del self.retained[0]
        return entry.offset

    def tail(self, after: int, limit_bytes: int) -> list[LogEntry] | None:
        """Returns the retained entries after an offset, up to a size."""
        if after >= self.offset:
            return []
        if not self.retained or self.retained[0].offset > after + 1:
            return None
        start = after + 1 - self.retained[0].offset
        found: list[LogEntry] = []
        for entry in self.retained[start:]:
            limit_bytes -= len(entry.data)
            if limit_bytes < 0 and found:
                break
            found.append(entry)
        return found

    def snapshot(self) -> bytes:
        """Returns offset, chain and padding."""
        state = self.offset, self.chain, bytes(self.padding)
        return msgspec.msgpack.encode(state)

    def load_snapshot(self, data: bytes) -> bool:
        """Loads a snapshot; returns whether it is newer than the state."""
        offset, chain, _ = msgspec.msgpack.decode(
            data, type=tuple[int, bytes, bytes]
        )
        if offset <= self.offset:
            return False
        self.offset, self.chain = offset, chain
        self.retained.clear()
        return True
