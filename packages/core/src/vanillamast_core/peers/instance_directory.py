"""The instance directory: all known instances."""

import bisect
import collections
import sys

import msgspec

from vanillamast_core.announcement import Announcement
from vanillamast_core.errors import CodecError
from vanillamast_core.peers.instance_record import InstanceRecord
from vanillamast_core.peers.liveness import LivenessState
from vanillamast_core.peers.rendezvous import rendezvous_score
from vanillamast_core.server_state import ServerState

BUCKET_COUNT = 64  # At 1,200 instances a bucket holds 19 records.
BUCKET_BYTES = 8
DEAD_RETENTION_S = 300.0

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Announcement)


def pack_announcement(announcement: Announcement) -> bytes:
    """Returns the packed form of an announcement."""
    return _encoder.encode(announcement)


def unpack_announcement(packed: bytes) -> Announcement:
    """Returns the announcement that the bytes hold.

    Raises:
      CodecError: The bytes are malformed.
    """
    try:
        return _decoder.decode(packed)
    except (
        msgspec.MsgspecError,
        UnicodeDecodeError,
        RecursionError,
    ) as error:
        raise CodecError(f"announcement: {error}") from error


class InstanceDirectory:
    """The list of members: announcement and liveness of each instance.

    `MembershipProtocol` decides on liveness and gossips; this class only
    stores the result and answers queries.

    Digests are updated incrementally and a record is decoded only when its
    service is queried, so that a heartbeat costs the same for any number
    of instances.
    Dead instances do not count in the digests: nodes remove them at
    different times, and that must not start repairs.

    Attributes:
      records: Record by instance.
      dead: Instances that are dead.
      leaving: Instances that are leaving and not dead.
      drained: Instances that operators drained.
      changed: Instances that changed since `take_changes`.
      changed_services: Services that changed since `take_changes`.
    """

    def __init__(self, dead_retention_s: float = DEAD_RETENTION_S):
        self.dead_retention_s = dead_retention_s
        self.records: dict[str, InstanceRecord] = {}
        self.dead: set[str] = set()
        self.leaving: set[str] = set()
        self.drained: frozenset[str] = frozenset()
        self.changed: set[str] = set()
        self.changed_services: set[str] = set()
        self._instances_by_service: dict[str, set[str]] = {}
        self._members_by_domain: dict[str, list[str]] = {}
        self._buckets = [0] * BUCKET_COUNT
        self._digest = 0
        self._deaths: collections.deque[tuple[float, str, int]] = (
            collections.deque()
        )
        self._decoded_by_service: dict[str, dict[str, Announcement]] = {}
        self._usable_by_service: dict[str, list[Announcement]] = {}

    def merge(
        self,
        announcement: Announcement,
        liveness: LivenessState = LivenessState.ALIVE,
        now: float = 0.0,
    ) -> bool:
        """Stores an announcement if it is newer than the known one.

        Returns:
          Whether the directory changed.
        """
        packed = pack_announcement(announcement)
        changed = self._add_record(announcement, packed)
        if liveness is LivenessState.ALIVE:
            return changed
        name, incarnation = announcement.instance, announcement.incarnation
        return self.apply_liveness(name, incarnation, liveness, now) or changed

    def merge_packed(self, packed: bytes) -> str | None:
        """Stores a packed announcement if it is newer than the known one.

        Returns:
          The instance if the directory changed.

        Raises:
          CodecError: The bytes are malformed.
        """
        announcement = unpack_announcement(packed)
        changed = self._add_record(announcement, packed)
        return announcement.instance if changed else None

    def apply_liveness(
        self, instance: str, incarnation: int, state: LivenessState, now: float
    ) -> bool:
        """Applies a claim about an instance's liveness.

        A claim about a newer incarnation than the known one is applied only
        if it says dead, because the newer announcement is still missing.

        Returns:
          Whether the directory changed.
        """
        record = self.records.get(instance)
        if record is None or incarnation < record.incarnation:
            return False
        newer = incarnation > record.incarnation
        if newer and state is not LivenessState.DEAD:
            return False
        if not newer and state <= record.liveness:
            return False
        was_dead = record.liveness is LivenessState.DEAD
        record.incarnation = incarnation
        record.liveness = state
        if state is LivenessState.DEAD:
            self._deaths.append((now, instance, incarnation))
            if not was_dead:
                self.dead.add(instance)
                self.leaving.discard(instance)
                self._toggle_digest(record)
                record.fingerprint = 0
                self._remove_member(instance, record.failure_domain)
        self._record_change(instance, record.service)
        return True

    def remove_expired(self, now: float) -> None:
        """Removes records that have been dead for the retention time."""
        while self._deaths and self._is_oldest_death_expired(now):
            _, instance, incarnation = self._deaths.popleft()
            record = self.records.get(instance)
            if (
                record is not None
                and record.liveness is LivenessState.DEAD
                and record.incarnation == incarnation
            ):
                del self.records[instance]
                self.dead.discard(instance)
                self._remove_service(instance, record.service)
                self._record_change(instance, record.service)

    def get_announcement(self, instance: str) -> Announcement | None:
        """Returns an instance's newest announcement."""
        record = self.records.get(instance)
        return None if record is None else unpack_announcement(record.packed)

    def get_peer_address(self, instance: str) -> str | None:
        """Returns the address of an instance's listener for peers."""
        announcement = self.get_announcement(instance)
        return None if announcement is None else announcement.peer_address

    def get_liveness(self, instance: str) -> LivenessState | None:
        """Returns an instance's liveness, None if it is unknown."""
        record = self.records.get(instance)
        return None if record is None else record.liveness

    def find_instance_at(self, peer_address: str) -> str | None:
        """Returns the instance with an address; decodes all records."""
        for instance, record in self.records.items():
            found = unpack_announcement(record.packed)
            if found.peer_address == peer_address:
                return instance
        return None

    def get_usable(self, service: str) -> list[Announcement]:
        """Returns the instances that may get requests.

        They are alive, serving, neither leaving nor drained. The list is
        cached until the service changes; do not modify it.
        """
        found = self._usable_by_service.get(service)
        if found is None:
            found = [
                announcement
                for announcement in self.get_known(service)
                if self._is_usable(announcement)
            ]
            self._usable_by_service[service] = found
        return found

    def get_known(self, service: str) -> list[Announcement]:
        """Returns all instances of a service, also dead ones.

        Used for panic routing.
        """
        decoded = self._decoded_by_service.setdefault(service, {})
        names = sorted(self._instances_by_service.get(service, ()))
        for name in names:
            if name not in decoded:
                decoded[name] = unpack_announcement(self.records[name].packed)
        return [decoded[name] for name in names]

    def get_live_instances(self, service: str) -> list[str]:
        """Returns the instances of a service that are not dead."""
        return [
            name
            for name in sorted(self._instances_by_service.get(service, ()))
            if self.records[name].liveness is not LivenessState.DEAD
        ]

    def get_members(self, failure_domain: str) -> list[str]:
        """Returns the domain's instances that are not dead, sorted."""
        return list(self._members_by_domain.get(failure_domain, ()))

    def count_members(self, failure_domain: str) -> int:
        """Returns the number of the domain's instances that are not dead."""
        return len(self._members_by_domain.get(failure_domain, ()))

    def set_drained(self, instances: frozenset[str]) -> None:
        """Replaces the set of instances that operators drained."""
        for instance in instances ^ self.drained:
            record = self.records.get(instance)
            if record is not None:
                self._usable_by_service.pop(record.service, None)
                self.changed_services.add(record.service)
        self.drained = instances

    def digest(self) -> int:
        """Returns the 64-bit digest of all records that are not dead."""
        return self._digest

    def bucket_digests(self) -> bytes:
        """Returns the digests of the 64 buckets, 8 bytes each."""
        return b"".join(
            digest.to_bytes(BUCKET_BYTES, "big") for digest in self._buckets
        )

    def find_differing_buckets(self, digests: bytes) -> list[int]:
        """Returns the buckets whose digests differ from the given ones."""
        own = self.bucket_digests()
        return [
            bucket
            for bucket in range(BUCKET_COUNT)
            if own[bucket * BUCKET_BYTES : (bucket + 1) * BUCKET_BYTES]
            != digests[bucket * BUCKET_BYTES : (bucket + 1) * BUCKET_BYTES]
        ]

    def get_records_in(
        self, buckets: set[int]
    ) -> list[tuple[str, int, LivenessState]]:
        """Returns (instance, incarnation, liveness) of records in buckets."""
        return [
            (instance, record.incarnation, record.liveness)
            for instance, record in self.records.items()
            if record.bucket in buckets
        ]

    def take_changes(self) -> tuple[set[str], set[str]]:
        """Returns and clears the changed instances and services."""
        changes = self.changed, self.changed_services
        if self.changed:
            self.changed = set()
        if self.changed_services:
            self.changed_services = set()
        return changes

    def _add_record(self, announcement: Announcement, packed: bytes) -> bool:
        instance = announcement.instance
        old = self.records.get(instance)
        if old is not None and announcement.incarnation <= old.incarnation:
            return False
        if old is not None:
            self._remove_from_indices(instance, old)
        record = _make_record(announcement, packed)
        self.records[instance] = record
        self._toggle_digest(record)
        if record.leaving:
            self.leaving.add(instance)
        self._instances_by_service.setdefault(record.service, set()).add(
            instance
        )
        members = self._members_by_domain.setdefault(record.failure_domain, [])
        bisect.insort(members, instance)
        self._record_change(instance, record.service)
        return True

    def _remove_from_indices(
        self, instance: str, record: InstanceRecord
    ) -> None:
        self.dead.discard(instance)
        self.leaving.discard(instance)
        if record.liveness is not LivenessState.DEAD:
            self._toggle_digest(record)
            self._remove_member(instance, record.failure_domain)
        self._remove_service(instance, record.service)
        self._record_change(instance, record.service)

    def _toggle_digest(self, record: InstanceRecord) -> None:
        self._buckets[record.bucket] ^= record.fingerprint
        self._digest ^= record.fingerprint

    def _remove_member(self, instance: str, failure_domain: str) -> None:
        members = self._members_by_domain[failure_domain]
        del members[bisect.bisect_left(members, instance)]
        if not members:
            del self._members_by_domain[failure_domain]

    def _remove_service(self, instance: str, service: str) -> None:
        names = self._instances_by_service[service]
        names.discard(instance)
        if not names:
            del self._instances_by_service[service]

    def _record_change(self, instance: str, service: str) -> None:
        self.changed.add(instance)
        self.changed_services.add(service)
        self._usable_by_service.pop(service, None)
        decoded = self._decoded_by_service.get(service)
        if decoded is not None:
            decoded.pop(instance, None)

    def _is_oldest_death_expired(self, now: float) -> bool:
        return now - self._deaths[0][0] >= self.dead_retention_s

    def _is_usable(self, announcement: Announcement) -> bool:
        record = self.records[announcement.instance]
        return (
            record.liveness is LivenessState.ALIVE
            and announcement.state is ServerState.SERVING
            and not announcement.leaving
            and announcement.instance not in self.drained
        )


def _make_record(announcement: Announcement, packed: bytes) -> InstanceRecord:
    instance, incarnation = announcement.instance, announcement.incarnation
    return InstanceRecord(
        packed=packed,
        incarnation=incarnation,
        region=sys.intern(announcement.region),
        failure_domain=sys.intern(announcement.failure_domain),
        service=sys.intern(announcement.service),
        leaving=announcement.leaving,
        liveness=LivenessState.ALIVE,
        bucket=rendezvous_score("bucket", instance) % BUCKET_COUNT,
        fingerprint=rendezvous_score(instance, str(incarnation)),
    )
