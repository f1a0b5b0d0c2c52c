"""The deterministic fold of the platform's log."""

# Imported first because of a circular dependency: the state contains moves,
# and modules of moves use records of this package.
import vanillamast_core.moves  # noqa: F401
from vanillamast_core.journal import (
    fold_moves,  # noqa: F401
    fold_platform,  # noqa: F401
    fold_publish,  # noqa: F401
)
from vanillamast_core.journal.gap_error import GapError
from vanillamast_core.journal.journal import Journal
from vanillamast_core.journal.lease import Lease
from vanillamast_core.journal.lease_keeper import LeaseKeeper
from vanillamast_core.journal.lease_settings import LeaseSettings
from vanillamast_core.journal.log_entry import LogEntry
from vanillamast_core.journal.mesh_state import MeshState
from vanillamast_core.journal.outcome import Outcome, OutcomeReason
from vanillamast_core.journal.record import Record, record_codec, record_kinds
from vanillamast_core.journal.record_handlers import record_handlers
from vanillamast_core.journal.records import (
    AdvanceMove,
    Beacon,
    ClaimLease,
    DrainInstance,
    HoldMove,
    Publish,
    ResumeMove,
    SettleMove,
    SnapshotChunk,
    StopMove,
    TakeBack,
)
from vanillamast_core.journal.restore import restore_from_log
from vanillamast_core.journal.restore_error import RestoreError
from vanillamast_core.journal.shard import SHARDS, driver_lease_name, shard_of
from vanillamast_core.journal.snapshot import strip_chunk_data
from vanillamast_core.journal.snapshot_settings import SnapshotSettings
from vanillamast_core.journal.snapshot_writer import (
    SNAPSHOT_LEASE,
    SnapshotWriter,
)

__all__ = [
    "SHARDS",
    "SNAPSHOT_LEASE",
    "AdvanceMove",
    "Beacon",
    "ClaimLease",
    "DrainInstance",
    "GapError",
    "HoldMove",
    "Journal",
    "Lease",
    "LeaseKeeper",
    "LeaseSettings",
    "LogEntry",
    "MeshState",
    "Outcome",
    "OutcomeReason",
    "Publish",
    "Record",
    "RestoreError",
    "ResumeMove",
    "SettleMove",
    "SnapshotChunk",
    "SnapshotSettings",
    "SnapshotWriter",
    "StopMove",
    "TakeBack",
    "driver_lease_name",
    "record_codec",
    "record_handlers",
    "record_kinds",
    "restore_from_log",
    "shard_of",
    "strip_chunk_data",
]
