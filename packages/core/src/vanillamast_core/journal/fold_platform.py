"""Folds leases, beacons, drains and snapshots."""

from vanillamast_core.journal.lease import Lease
from vanillamast_core.journal.mesh_state import MeshState
from vanillamast_core.journal.outcome import Outcome, OutcomeReason
from vanillamast_core.journal.record_handlers import (
    accept,
    record_handlers,
    refuse,
    refuse_if_changed,
)
from vanillamast_core.journal.records import (
    Beacon,
    ClaimLease,
    DrainInstance,
    SnapshotChunk,
)


@record_handlers.register("claim_lease")
def fold_claim(state: MeshState, record: ClaimLease, offset: int) -> Outcome:
    """Accepts a claim if `previous` is the offset of the last accepted one."""
    lease = state.leases.get(record.name)
    renewed_at = lease.renewed_at if lease else 0
    if record.previous != renewed_at:
        detail = f"lease {record.name} was claimed at {renewed_at}"
        return refuse(
            record, offset, OutcomeReason.CONFLICT, detail, renewed_at
        )
    renewal = lease is not None and lease.holder == record.holder
    token = lease.token if lease and renewal else offset
    state.leases[record.name] = Lease(record.name, record.holder, token, offset)
    return accept(record, offset)


@record_handlers.register("beacon")
def fold_beacon(state: MeshState, record: Beacon, offset: int) -> Outcome:
    """Stores the last beacon of a failure domain."""
    state.beacons[record.failure_domain] = record
    return accept(record, offset)


@record_handlers.register("drain_instance")
def fold_drain(state: MeshState, record: DrainInstance, offset: int) -> Outcome:
    """Starts or ends the drain of an instance."""
    key = f"drains/{record.instance}"
    if refusal := refuse_if_changed(
        record, offset, key, state.last_changed_at(key)
    ):
        return refusal
    if record.drained:
        state.start_drain(record.instance, offset)
    else:
        state.end_drain(record.instance, offset)
    return accept(record, offset)


@record_handlers.register("snapshot_chunk")
def fold_snapshot(
    state: MeshState, record: SnapshotChunk, offset: int
) -> Outcome:
    """Changes nothing: snapshots are only used to restore from the log."""
    if record.is_consistent(offset):
        return accept(record, offset)
    detail = f"part {record.index} of {record.count} at {record.offset}"
    return refuse(record, offset, OutcomeReason.INVALID, detail)
