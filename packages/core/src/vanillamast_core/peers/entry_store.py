"""Interface of the mesh to the state built from the log."""

from typing import Protocol

from vanillamast_core.journal import LogEntry


class EntryStore(Protocol):
    """The state that results from applying the log's entries in order.

    Attributes:
      offset: Offset of the last applied entry, 0 before the first.
    """

    offset: int

    def apply(self, entry: LogEntry) -> object:
        """Applies the entry at `offset + 1` and returns its outcome."""

    def tail(self, after: int, limit_bytes: int) -> list[LogEntry] | None:
        """Returns entries after an offset, or None if a snapshot is needed."""

    def snapshot(self) -> bytes:
        """Returns the whole state at `offset`."""

    def load_snapshot(self, data: bytes) -> bool:
        """Replaces the state if the snapshot is intact and newer."""
