"""The deterministic fold of the platform's log."""

from vanillamast_core.journal.lease import Lease
from vanillamast_core.journal.log_entry import LogEntry
from vanillamast_core.journal.outcome import Outcome, OutcomeReason
from vanillamast_core.journal.record import Record, record_codec, record_kinds
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

__all__ = [
    "AdvanceMove",
    "Beacon",
    "ClaimLease",
    "DrainInstance",
    "HoldMove",
    "Lease",
    "LogEntry",
    "Outcome",
    "OutcomeReason",
    "Publish",
    "Record",
    "ResumeMove",
    "SettleMove",
    "SnapshotChunk",
    "StopMove",
    "TakeBack",
    "record_codec",
    "record_kinds",
]
