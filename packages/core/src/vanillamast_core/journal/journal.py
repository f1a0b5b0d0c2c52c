"""The deterministic fold of the platform's log."""

import collections

from vanillamast_core.errors import CodecError
from vanillamast_core.journal.gap_error import GapError
from vanillamast_core.journal.log_entry import LogEntry
from vanillamast_core.journal.mesh_state import MeshState
from vanillamast_core.journal.outcome import Outcome, OutcomeReason
from vanillamast_core.journal.record import Record, record_codec
from vanillamast_core.journal.record_handlers import apply_record
from vanillamast_core.journal.records import Beacon, ClaimLease, SnapshotChunk
from vanillamast_core.journal.snapshot import (
    decode_snapshot,
    encode_snapshot,
    snapshot_digest,
    strip_chunk_data,
)

MAX_TAIL_ENTRIES = 1_024
MAX_TAIL_BYTES = 262_144
# Kinds that are idempotent by themselves. Their outcomes are not stored, so as
# not to displace those of operators and drivers.
IDEMPOTENT_KINDS = (Beacon, ClaimLease, SnapshotChunk)


class Journal:
    """Folds entries in order; equal prefixes of the log give equal states.

    Attributes:
      offset: Offset of the last entry that the state holds, 0 for none.
      state: The state; replaced as a whole by `load_snapshot`.
      entries: The last entries, without the data of snapshots.
      entries_bytes: Total size of their data.
    """

    def __init__(self) -> None:
        self.offset = 0
        self.state = MeshState()
        self.entries: collections.deque[LogEntry] = collections.deque()
        self.entries_bytes = 0
        self._digest: tuple[int, bytes] | None = None

    def apply(self, entry: LogEntry) -> Outcome | None:
        """Folds the next entry.

        Args:
          entry: An entry of the log.

        Returns:
          The outcome of the record; for an id that was folded before, the
          earlier outcome, whose offset is lower; None for an entry that the
          state already includes.

        Raises:
          GapError: Entries between the state and this one are missing.
        """
        if entry.offset <= self.offset:
            return None
        if entry.offset != self.offset + 1:
            raise GapError(self.offset + 1, entry.offset)
        try:
            record = record_codec.decode(entry.data)
        except CodecError as error:
            outcome = self._unreadable_outcome(entry, error)
            self._advance(entry)
            return outcome
        outcome = self._fold(record, entry.offset)
        self._advance(strip_chunk_data(entry, record))
        return outcome

    def tail(self, after: int, limit_bytes: int) -> list[LogEntry] | None:
        """Returns the entries after an offset, for a peer.

        Args:
          after: The peer's offset.
          limit_bytes: Limit on the total size of the data; the first entry
            is returned whatever its size.

        Returns:
          The entries; an empty list if the peer is not behind; None if the
          journal no longer has them, so that the peer needs a snapshot.
        """
        if after >= self.offset:
            return []
        first = self.offset - len(self.entries) + 1
        if after + 1 < first:
            return None
        result: list[LogEntry] = []
        size = 0
        for index in range(after + 1 - first, len(self.entries)):
            size += len(self.entries[index].data)
            if result and size > limit_bytes:
                break
            result.append(self.entries[index])
        return result

    def snapshot(self) -> bytes:
        """Returns the encoded state; equal for equal prefixes of the log."""
        return encode_snapshot(self.offset, self.state)

    def load_snapshot(self, data: bytes) -> bool:
        """Replaces the state by a newer one.

        Returns:
          Whether the snapshot was newer; if not, nothing changes.

        Raises:
          CodecError: The bytes are not a snapshot; nothing changes.
        """
        snapshot = decode_snapshot(data)
        if snapshot.offset <= self.offset:
            return False
        self.offset = snapshot.offset
        self.state = snapshot.state
        self.entries.clear()
        self.entries_bytes = 0
        return True

    def digest(self) -> bytes:
        """Returns a digest of the offset and the state, of 16 bytes."""
        if self._digest is None or self._digest[0] != self.offset:
            self._digest = (self.offset, snapshot_digest(self.snapshot()))
        return self._digest[1]

    def _fold(self, record: Record, offset: int) -> Outcome:
        if isinstance(record, IDEMPOTENT_KINDS):
            return apply_record(self.state, record, offset)
        if known := self.state.outcomes.get(record.id):
            return known
        outcome = apply_record(self.state, record, offset)
        self.state.store_outcome(outcome)
        return outcome

    def _unreadable_outcome(
        self, entry: LogEntry, error: CodecError
    ) -> Outcome:
        reason = OutcomeReason.UNREADABLE
        return Outcome("", entry.offset, reason, detail=str(error))

    def _advance(self, entry: LogEntry) -> None:
        self.offset = entry.offset
        self.entries.append(entry)
        self.entries_bytes += len(entry.data)
        while (
            len(self.entries) > MAX_TAIL_ENTRIES
            or self.entries_bytes > MAX_TAIL_BYTES
        ):
            self.entries_bytes -= len(self.entries.popleft().data)
