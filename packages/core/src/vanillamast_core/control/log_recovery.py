"""Recovery of the state when the log has dropped entries that are missing."""

from collections.abc import Sequence

from vanillamast_core.journal import (
    Journal,
    LogEntry,
    RestoreError,
    restore_from_log,
)


class LogRecovery:
    """Gathers what the log retains until a snapshot closes the gap.

    A node needs it only if no peer is ahead: with peers, their state is
    loaded instead.

    Attributes:
      journal: The fold that lacks entries.
      entries: Retained entries that were read so far, without gaps.
    """

    def __init__(self, journal: Journal):
        self.journal = journal
        self.entries: list[LogEntry] = []

    def last_read_offset(self) -> int:
        """Returns the offset after which the log is to be read."""
        if self.entries and self.entries[-1].offset > self.journal.offset:
            return self.entries[-1].offset
        return self.journal.offset

    def handle_read(
        self, first_offset: int, entries: Sequence[LogEntry], more: bool
    ) -> Sequence[LogEntry]:
        """Takes the answer of a read.

        Args:
          first_offset: Lowest offset that the log retains.
          entries: Entries of the answer.
          more: Whether the log holds entries after these.

        Returns:
          Entries that the journal can fold; none while the gap is open.
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
            # The next snapshot in the log closes the gap.
            return
        if self.journal.load_snapshot(restored.snapshot()):
            self.entries.clear()
