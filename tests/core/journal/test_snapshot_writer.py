"""Tests of snapshots in the log."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_core.journal import (
    Beacon,
    Journal,
    LogEntry,
    SnapshotChunk,
    SnapshotSettings,
    SnapshotWriter,
    record_codec,
    restore_from_log,
)

RETENTION_S = 40.0


class Log:
    """A log that drops entries by age, and a node that folds it."""

    def __init__(self):
        self.entries = []
        self.times = []
        self.journal = Journal()

    def append(self, record, now):
        """Appends a record; returns its offset."""
        offset = len(self.entries) + 1
        entry = LogEntry(offset, record_codec.encode(record))
        self.entries.append(entry)
        self.times.append(now)
        self.journal.apply(entry)
        return offset

    def append_beacon(self, now):
        """Appends an entry that changes the state."""
        at = f"{now}"
        self.append(
            Beacon(
                id=at, based_on=0, failure_domain="d", instance=at, address=at
            ),
            now,
        )

    def retained(self, now):
        """Returns the entries that are not too old."""
        pairs = zip(self.entries, self.times, strict=True)
        return [entry for entry, at in pairs if at > now - RETENTION_S]


def write_snapshot(log, writer, now, lost=frozenset()):
    """Appends the parts that the writer returns, except lost ones."""
    chunks = writer.decide(log.journal, now)
    for chunk in chunks:
        if chunk.index not in lost:
            offset = log.append(chunk, now)
            stripped = msgspec.structs.replace(chunk, data=b"")
            writer.observe(stripped, offset, now)
    return chunks


class TestSnapshotWriter:
    """When snapshots are written, and whether they restore the state."""

    @given(
        st.lists(
            st.sampled_from(["beacon", "beacon", "beacon", "lose", "restart"]),
            min_size=60,
            max_size=120,
        )
    )
    def test_retained_log_always_restores_fuzz(self, events):
        """Guards against a log whose start is dropped before a snapshot."""
        log = Log()
        settings = SnapshotSettings(
            entries=15, retention_s=RETENTION_S, chunk_bytes=60, retry_s=2.0
        )
        writer = SnapshotWriter(settings)
        losses = 0
        for second, event in enumerate(events):
            now = float(second)
            log.append_beacon(now)
            if event == "restart":
                writer = SnapshotWriter(settings)
            # Up to 8 consecutive losses take less than the three quarters of
            # the retention time that remain for retries.
            losses = losses + 1 if event == "lose" and losses < 8 else 0
            write_snapshot(log, writer, now, {0} if losses else frozenset())
            restored = restore_from_log(log.retained(now))
            assert restored.snapshot() == log.journal.snapshot()

    def test_due_by_entries_and_by_time_only(self):
        """Guards against snapshots that are too rare or unnecessary."""
        log = Log()
        writer = SnapshotWriter(SnapshotSettings(retention_s=1_000.0))
        assert write_snapshot(log, writer, 0.0) == []
        log.append_beacon(0.0)
        assert write_snapshot(log, writer, 0.0) != []
        for _ in range(1_998):
            log.append_beacon(1.0)
        assert write_snapshot(log, writer, 1.0) == []
        log.append_beacon(1.0)
        assert write_snapshot(log, writer, 1.0) != []
        assert write_snapshot(log, writer, 250.9) == []
        assert write_snapshot(log, writer, 251.0) != []

    def test_incomplete_snapshot_is_written_anew_after_a_while(self):
        """Guards against waiting forever for a lost part."""
        log = Log()
        log.append_beacon(0.0)
        writer = SnapshotWriter(SnapshotSettings(chunk_bytes=20))
        assert len(write_snapshot(log, writer, 0.0, lost={1})) > 2
        assert write_snapshot(log, writer, 59.0) == []
        assert write_snapshot(log, writer, 60.0) != []

    def test_data_is_split_and_dropped_from_the_tail(self):
        """Guards against 48 KB parts that every node stores and forwards."""
        log = Log()
        log.append_beacon(0.0)
        settings = SnapshotSettings(chunk_bytes=20)
        chunks = write_snapshot(log, SnapshotWriter(settings), 0.0)
        assert all(0 < len(chunk.data) <= 20 for chunk in chunks)
        for entry in log.journal.tail(1, 100_000):
            assert record_codec.decode(entry.data).data == b""

    def test_inconsistent_parts_are_refused_at_no_cost(self):
        """Guards against counts of 2**60 parts and offsets in the future."""
        log = Log()
        log.append_beacon(0.0)
        fields = {"index": 0, "data": b"x", "digest": b""}
        writer = SnapshotWriter(SnapshotSettings())
        for offset, count in ((1, 2**60), (2**60, 1), (9, 1)):
            numbers = {"offset": offset, "count": count}
            chunk = SnapshotChunk(id="c", based_on=0, **numbers, **fields)
            writer.observe(chunk, log.append(chunk, 0.0), 0.0)
        assert writer.complete_offset is None
        restored = restore_from_log(log.entries)
        assert restored.snapshot() == log.journal.snapshot()
