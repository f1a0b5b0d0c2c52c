"""Restores the state from the platform's log alone."""

import collections
from collections.abc import Iterable, Sequence

from vanillamast_core.errors import CodecError
from vanillamast_core.journal.gap_error import GapError
from vanillamast_core.journal.journal import Journal
from vanillamast_core.journal.log_entry import LogEntry
from vanillamast_core.journal.record import record_codec
from vanillamast_core.journal.records import SnapshotChunk
from vanillamast_core.journal.restore_error import RestoreError
from vanillamast_core.journal.snapshot import snapshot_digest


def restore_from_log(entries: Iterable[LogEntry]) -> Journal:
    """Rebuilds the state from the entries that the log retains.

    Args:
      entries: All retained entries, in the order of their offsets.

    Returns:
      The journal at the last entry; at offset 0 if there is no entry.

    Raises:
      RestoreError: Entries are missing and no complete snapshot closes the
        gap.
    """
    retained = list(entries)
    snapshots = find_complete_snapshots(retained)
    missing: list[int] = []
    for offset in [*sorted(snapshots, reverse=True), 0]:
        journal = Journal()
        try:
            if offset and not journal.load_snapshot(snapshots[offset]):
                continue
            return _replay(journal, offset, retained)
        except CodecError:
            continue
        except GapError as error:
            missing.append(error.expected)
    # Reports the gap after the newest snapshot, which needs the fewest entries.
    raise RestoreError(missing[0], sorted(snapshots))


def find_complete_snapshots(entries: Sequence[LogEntry]) -> dict[int, bytes]:
    """Returns the snapshots whose parts are all present, by offset."""
    parts: dict[tuple[int, int, bytes], dict[int, bytes]] = (
        collections.defaultdict(dict)
    )
    for entry in entries:
        chunk = _decode_chunk(entry)
        if chunk is not None and chunk.data:
            key = (chunk.offset, chunk.count, chunk.digest)
            parts[key][chunk.index] = chunk.data
    result = {}
    for (offset, count, digest), by_index in parts.items():
        if len(by_index) < count:
            continue
        data = b"".join(by_index[index] for index in range(count))
        if snapshot_digest(data) == digest:
            result[offset] = data
    return result


def _replay(
    journal: Journal, offset: int, entries: Sequence[LogEntry]
) -> Journal:
    if journal.offset != offset:
        raise CodecError(f"snapshot: offset {journal.offset} is not {offset}")
    for entry in entries:
        journal.apply(entry)
    return journal


def _decode_chunk(entry: LogEntry) -> SnapshotChunk | None:
    try:
        record = record_codec.decode(entry.data)
    except CodecError:
        return None
    if isinstance(record, SnapshotChunk) and record.is_consistent(entry.offset):
        return record
    return None
