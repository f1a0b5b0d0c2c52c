"""Recovery of the state when the log no longer retains missing entries."""

from collections.abc import Sequence

from vanillamast_core.journal import (
    Journal,
    LogEntry,
    RestoreError,
    restore_from_log,
)


class LogRecovery:
    """Collects the log's retained entries until a snapshot closes the gap.

    It is needed only if no peer is ahead; otherwise a peer's state is loaded
    instead.

    Attributes:
      journal: The journal that lacks entries.
      entries: Retained entries that were read so far, without gaps.
    """

    def __init__(self, journal: Journal):
        self.journal = journal
        self.entries: list[LogEntry] = []

    def last_read_offset(self) -> int:
        """Returns the offset after which the log has to be read."""
        if self.entries and self.entries[-1].offset > self.journal.offset:
            return self.entries[-1].offset
        return self.journal.offset

    def handle_read(
        self, first_offset: int, entries: Sequence[LogEntry], more: bool
    ) -> Sequence[LogEntry]:
        """Handles the answer to a read.

        Args:
          first_offset: Lowest offset that the log retains.
          entries: Entries of the answer.
          more: Whether the log holds entries after these.

        Returns:
          Entries that the journal can apply; none while there is a gap.
        """
        if not self._has_gap(first_offset, entries):
            self.entries.clear()
            return entries
        self.entries += entries
        if not more:
            self._restore()
        return ()

    def _has_gap(self, first_offset: int, entries: Sequence[LogEntry]) -> bool:
        start = entries[0].offset if entries else first_offset
        if self.entries and start <= self.entries[-1].offset + 1:
            start = self.entries[0].offset
        return start > self.journal.offset + 1

    def _restore(self) -> None:
        try:
            restored = restore_from_log(self.entries)
        except RestoreError:
            # Wait for the next snapshot in the log.
            return
        if self.journal.load_snapshot(restored.snapshot()):
            self.entries.clear()
