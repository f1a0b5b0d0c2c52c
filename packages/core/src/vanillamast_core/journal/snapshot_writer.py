"""Decides when a snapshot of the state is written to the log."""

from vanillamast_core.journal.journal import Journal
from vanillamast_core.journal.records import SnapshotChunk
from vanillamast_core.journal.snapshot import split_snapshot
from vanillamast_core.journal.snapshot_settings import SnapshotSettings

SNAPSHOT_LEASE = "snapshot"  # Name of the lease that a writer should hold.


class SnapshotWriter:
    """Observes the snapshots in the log and creates one when it is due.

    Every node observes; only the holder of `SNAPSHOT_LEASE` calls `decide`. Two
    writers at once only cost space in the log.

    Attributes:
      settings: When and how snapshots are written.
      complete_offset: Offset of the state of the newest complete snapshot,
        None if this process has seen none.
      complete_at: When it became complete.
      last_written_at: When this process last wrote one that is not complete.
      seen_parts: Positions of the parts seen, by (offset, count, digest).
    """

    def __init__(self, settings: SnapshotSettings):
        self.settings = settings
        self.complete_offset: int | None = None
        self.complete_at = 0.0
        self.last_written_at: float | None = None
        self.seen_parts: dict[tuple[int, int, bytes], set[int]] = {}

    def observe(self, chunk: SnapshotChunk, offset: int, now: float) -> None:
        """Records a part in the log, with or without its data.

        Args:
          chunk: A folded record.
          offset: Offset of its entry.
          now: Monotonic time in seconds.
        """
        known = self.complete_offset or 0
        if chunk.offset <= known or not chunk.is_consistent(offset):
            return
        key = (chunk.offset, chunk.count, chunk.digest)
        seen = self.seen_parts.setdefault(key, set())
        seen.add(chunk.index)
        if len(seen) == chunk.count:
            self._complete(chunk.offset, now)

    def decide(self, journal: Journal, now: float) -> list[SnapshotChunk]:
        """Returns the records to append if a snapshot is due.

        A process that has seen no complete snapshot writes one: it cannot
        know how old the last one is.

        Args:
          journal: The journal whose state is written.
          now: Monotonic time in seconds.
        """
        if not self.is_due(journal, now):
            return []
        self.last_written_at = now
        return split_snapshot(
            journal.offset, journal.snapshot(), self.settings.chunk_bytes
        )

    def is_due(self, journal: Journal, now: float) -> bool:
        """Returns whether a snapshot should be written now."""
        if journal.offset == 0:
            return False
        if self.last_written_at is not None and (
            now - self.last_written_at < self.settings.retry_s
        ):
            return False
        if self.complete_offset is None:
            return True
        entries = journal.offset - self.complete_offset
        age = now - self.complete_at
        return (
            entries >= self.settings.entries
            or age >= self.settings.retention_s / 4
        )

    def _complete(self, offset: int, now: float) -> None:
        self.complete_offset = offset
        self.complete_at = now
        self.last_written_at = None
        self.seen_parts = {
            key: s for key, s in self.seen_parts.items() if key[0] > offset
        }
