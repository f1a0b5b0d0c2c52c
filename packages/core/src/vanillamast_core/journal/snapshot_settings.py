"""Settings of snapshots in the log."""

import msgspec


class SnapshotSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """When and how snapshots are written to the log.

    Attributes:
      entries: Number of entries after the last complete snapshot at which the
        next one is due.
      retention_s: Time for which the platform retains records. A snapshot is
        also due a quarter of it after the last complete one.
      chunk_bytes: Size of the data of one record.
      retry_s: Time after which a snapshot that is still not complete in the
        log is replaced by a newer one.
    """

    entries: int = 2_000
    retention_s: float = 86_400.0
    chunk_bytes: int = 49_152
    retry_s: float = 60.0

    def __post_init__(self) -> None:
        if min(self.entries, self.chunk_bytes) < 1:
            raise ValueError("entries and chunk_bytes must be at least 1")
        if not 0 < self.retry_s < self.retention_s:
            raise ValueError("snapshots need 0 < retry_s < retention_s")
