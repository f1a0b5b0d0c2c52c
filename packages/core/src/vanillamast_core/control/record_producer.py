"""Records that a node appends to the log without an operator's request."""

import random
import uuid
from collections.abc import Iterable

from vanillamast_core.control.claim_rank import ClaimRank
from vanillamast_core.control.core_settings import CoreSettings
from vanillamast_core.control.effects import Append
from vanillamast_core.control.lease_group import LeaseGroup
from vanillamast_core.control.move_control import MoveControl, group_by_shard
from vanillamast_core.journal import (
    Beacon,
    Journal,
    LogEntry,
    Record,
    SnapshotChunk,
    SnapshotWriter,
    record_codec,
)
from vanillamast_core.journal.shard import LEASE_PREFIX
from vanillamast_core.moves import Move
from vanillamast_core.peers import LivenessState, Mesh

SNAPSHOT_LEASE = "snapshot"
# Leases are short, so a claim or a step that waits longer is out of date.
LEASE_APPEND_TIMEOUT_S = 6.0


class RecordProducer:
    """Produces the records of moves, snapshots and beacons.

    Driving a move and writing a snapshot need a lease.

    Attributes:
      settings: Settings of the core.
      journal: The state derived from the log.
      mesh: Overlay and membership.
      moves: Evidence and drivers.
      rng: Source of the records' ids.
      leases: Leases that this node may claim.
      ranks: Order in which live instances claim them.
      snapshots: Decides when the state is written to the log.
    """

    def __init__(
        self,
        settings: CoreSettings,
        journal: Journal,
        mesh: Mesh,
        moves: MoveControl,
        rng: random.Random,
    ):
        self.settings = settings
        self.journal = journal
        self.mesh = mesh
        self.moves = moves
        self.rng = rng
        self.leases = LeaseGroup(settings.holder, settings.leases)
        self.ranks = ClaimRank(settings.instance, mesh.directory)
        self.snapshots = SnapshotWriter(settings.snapshots)
        self._next_beacon = 0.0

    def update_leases(self, now: float) -> None:
        """Updates the lease keepers with the leases in the log's state."""
        self.leases.observe(self.journal.state.leases, now)

    def observe_entry(self, entry: LogEntry, now: float) -> None:
        """Observes an applied entry, which may be part of a snapshot."""
        record = record_codec.decode_or_none(entry.data)
        if isinstance(record, SnapshotChunk):
            self.snapshots.observe(record, entry.offset, now)

    def drive_moves(
        self, active: Iterable[Move], wall: float, now: float
    ) -> list[Append]:
        """Returns the appends of this node's drivers for active moves."""
        appends: list[Append] = []
        for shard, moves in group_by_shard(active).items():
            lease = f"{LEASE_PREFIX}{shard}"
            appends += self._claim_lease(lease, now)
            token = self.leases.fencing_token(lease, now)
            if token is not None:
                appends += self._drive_shard(shard, moves, token, wall, now)
        return appends

    def roll_back(
        self, started_at: int, reason: str, now: float
    ) -> list[Append]:
        """Returns the rollback for an alarm unless it was appended recently."""
        offset = self.journal.offset
        record = self.moves.roll_back(started_at, reason, offset, now)
        return self._to_appends([record] if record is not None else [])

    def write_snapshot(self, now: float) -> list[Append]:
        """Returns a snapshot's parts if one is due and the lease is held."""
        if not self.snapshots.is_due(self.journal, now):
            return []
        appends = self._claim_lease(SNAPSHOT_LEASE, now)
        if self.leases.fencing_token(SNAPSHOT_LEASE, now) is not None:
            appends += self._to_appends(
                self.snapshots.decide(self.journal, now)
            )
        return appends

    def write_beacon(self, now: float) -> list[Append]:
        """Returns a beacon if its failure domain's is out of date.

        Beacons are part of the state and therefore of every snapshot, so they
        need no renewal while the instance that they name is alive.
        """
        if now < self._next_beacon:
            return []
        self._next_beacon = now + self.settings.control.beacon_period_s
        readers = self.mesh.log_readers.get_selected()
        if not readers or readers[0] != self.settings.instance:
            return []
        own = self.mesh.own
        known = self.journal.state.beacons.get(own.failure_domain)
        if known is not None and known.address == own.peer_address:
            return []
        record = Beacon(
            id=str(uuid.UUID(int=self.rng.getrandbits(128), version=4)),
            based_on=self.journal.offset,
            failure_domain=own.failure_domain,
            instance=own.instance,
            address=own.peer_address,
        )
        return self._to_appends([record])

    def release_leases(self) -> list[Append]:
        """Returns the records that give up all leases of this process."""
        return self._to_lease_appends(self.leases.release_all())

    def _drive_shard(
        self,
        shard: int,
        moves: list[Move],
        token: int,
        wall: float,
        now: float,
    ) -> list[Append]:
        appends: list[Append] = []
        alarms = self.mesh.alarms.moves
        for move in moves:
            if move.started_at in alarms:
                reason = alarms[move.started_at]
                appends += self.roll_back(move.started_at, reason, now)
        unalarmed = [m for m in moves if m.started_at not in alarms]
        records = self.moves.drive(
            shard,
            unalarmed,
            token,
            self.mesh.directory,
            wall,
            now,
            self.journal.offset,
        )
        return appends + self._to_lease_appends(records)

    def _claim_lease(self, lease: str, now: float) -> list[Append]:
        """Returns a claim or renewal of a lease, if one is due."""
        if not self.journal.offset:
            return []
        rank = self.ranks.rank(lease, now)
        claim = self.leases.claim(lease, now, rank, self._holder_gone(lease))
        return self._to_lease_appends([claim] if claim is not None else [])

    def _holder_gone(self, lease: str) -> bool:
        """Returns whether a lease's holder released it or has failed."""
        known = self.journal.state.leases.get(lease)
        if known is None:
            return False
        instance = parse_holder_instance(known.holder)
        record = self.mesh.directory.records.get(instance)
        failed = record is not None and record.liveness is LivenessState.DEAD
        return not instance or failed

    def _to_lease_appends(self, records: Iterable[Record]) -> list[Append]:
        return [Append(record, LEASE_APPEND_TIMEOUT_S) for record in records]

    def _to_appends(self, records: Iterable[Record]) -> list[Append]:
        timeout_s = self.settings.control.append_patience_s
        return [Append(record, timeout_s) for record in records]


def parse_holder_instance(holder: str) -> str:
    """Returns the instance of a lease's holder, "instance/start"."""
    return holder.rpartition("/")[0]
