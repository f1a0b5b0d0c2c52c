"""Anti-entropy for the instance directory and the alarms."""

from vanillamast_core.errors import CodecError
from vanillamast_core.peers.alarm_set import AlarmSet
from vanillamast_core.peers.directory_messages import (
    Announcements,
    AnnouncementsRequest,
    DigestReply,
    DigestRequest,
    Liveness,
    LivenessClaim,
)
from vanillamast_core.peers.instance_directory import (
    BUCKET_BYTES,
    BUCKET_COUNT,
    InstanceDirectory,
    unpack_announcement,
)
from vanillamast_core.peers.link import Link
from vanillamast_core.peers.link_table import LinkTable
from vanillamast_core.peers.liveness import LivenessState
from vanillamast_core.peers.membership_protocol import MembershipProtocol
from vanillamast_core.peers.move_messages import Alarms
from vanillamast_core.peers.settings import PeerSettings

# Multiplies the needed mismatches while the peer's digest keeps changing, and
# at the end with the higher name, so that mostly one end starts the repair.
CHANGING_DIGEST_FACTOR = 2


class AntiEntropy:
    """Detects and repairs differences that pushed messages left.

    Peers compare digests in their heartbeats, then digests of buckets, and
    exchange only the records of buckets that differ.

    Attributes:
      settings: Limits.
      directory: The instance directory to repair.
      alarms: The alarms to repair.
      membership: Merges received announcements and claims.
      links: Links of this node.
      next_repair_at: No repair starts before this time.
    """

    def __init__(
        self,
        settings: PeerSettings,
        directory: InstanceDirectory,
        alarms: AlarmSet,
        membership: MembershipProtocol,
        links: LinkTable,
    ):
        self.settings = settings
        self.directory = directory
        self.alarms = alarms
        self.membership = membership
        self.links = links
        self.next_repair_at = 0.0

    def digest(self) -> int:
        """Returns the digest of directory and alarms for heartbeats."""
        return self.directory.digest() ^ self.alarms.digest

    def handle_hello(self, link: Link, digest: int) -> None:
        """Starts a repair on a new link, from the side that dialed it."""
        link.digest = digest
        if link.dialed_address is not None and digest != self.digest():
            self._send_digest_request(link)

    def handle_heartbeat(self, link: Link, digest: int, now: float) -> None:
        """Starts a repair if a difference persists.

        A digest that changes between heartbeats shows that pushed messages
        are still arriving; the repair then waits for more heartbeats.
        """
        if digest == self.digest():
            link.digest_mismatches = 0
            link.digest = digest
            return
        link.digest_mismatches += 1
        stable = digest == link.digest
        link.digest = digest
        limit = self.settings.digest_mismatches
        if self.links.own_instance > link.instance or not stable:
            limit *= CHANGING_DIGEST_FACTOR
        if link.digest_mismatches >= limit and now >= self.next_repair_at:
            self.next_repair_at = now + self.settings.repair_interval_s
            link.digest_mismatches = 0
            self._send_digest_request(link)

    def handle_digest_request(self, link: Link, message: DigestRequest) -> None:
        """Replies with this node's records in the buckets that differ."""
        if len(message.buckets) != BUCKET_COUNT * BUCKET_BYTES:
            return
        differing = self.directory.find_differing_buckets(message.buckets)
        same_alarms = message.alarms == self.alarms.digest
        if not same_alarms and self.alarms.moves:
            self.links.send(link, Alarms(dict(self.alarms.moves)))
        if differing or not same_alarms:
            self._send_reply(link, differing)

    def handle_digest_reply(
        self, link: Link, message: DigestReply, now: float
    ) -> None:
        """Sends what the peer lacks and requests what this node lacks."""
        if message.alarms != self.alarms.digest and self.alarms.moves:
            self.links.send(link, Alarms(dict(self.alarms.moves)))
        peer_records = {
            name: (incarnation, state)
            for name, incarnation, state in message.records
        }
        self._send_newer(link, set(message.buckets), peer_records)
        missing = []
        for name, (incarnation, state) in peer_records.items():
            known = self.directory.records.get(name)
            if state is LivenessState.DEAD:
                claim = LivenessClaim(name, incarnation, state)
                if known is not None and incarnation >= known.incarnation:
                    self.membership.merge_claim(claim, now)
            elif known is None or incarnation > known.incarnation:
                missing.append(name)
        if missing:
            self.links.send(link, AnnouncementsRequest(tuple(missing)))

    def send_announcements(self, link: Link, names: tuple[str, ...]) -> None:
        """Sends announcements in messages of bounded size."""
        batch: list[bytes] = []
        size = 0
        for name in names:
            record = self.directory.records.get(name)
            if record is None or record.liveness is LivenessState.DEAD:
                continue
            batch.append(record.packed)
            size += len(record.packed)
            if size >= self.settings.frame_bytes:
                self.links.send(link, Announcements(tuple(batch)))
                batch, size = [], 0
        if batch:
            self.links.send(link, Announcements(tuple(batch)))

    def handle_announcements(
        self, link: Link, items: tuple[bytes, ...]
    ) -> None:
        """Merges packed announcements; malformed ones are ignored."""
        announcements = []
        for packed in items:
            try:
                announcements.append(unpack_announcement(packed))
            except CodecError:
                continue
        self.membership.merge_announcements(tuple(announcements), link)

    def _send_digest_request(self, link: Link) -> None:
        buckets = self.directory.bucket_digests()
        self.links.send(link, DigestRequest(buckets, self.alarms.digest))

    def _send_reply(self, link: Link, buckets: list[int]) -> None:
        records = tuple(self.directory.get_records_in(set(buckets)))
        reply = DigestReply(bytes(buckets), records, self.alarms.digest)
        self.links.send(link, reply)

    def _send_newer(
        self,
        link: Link,
        buckets: set[int],
        peer_records: dict[str, tuple[int, LivenessState]],
    ) -> None:
        newer: list[str] = []
        claims: list[LivenessClaim] = []
        for name, own_incarnation, own_state in self.directory.get_records_in(
            buckets
        ):
            incarnation, state = peer_records.get(
                name, (-1, LivenessState.DEAD)
            )
            if own_state is not LivenessState.DEAD:
                if own_incarnation > incarnation:
                    newer.append(name)
            elif (
                own_incarnation >= incarnation
                and state is not LivenessState.DEAD
            ):
                claims.append(LivenessClaim(name, own_incarnation, own_state))
        self.send_announcements(link, tuple(newer))
        if claims:
            self.links.send(link, Liveness(tuple(claims)))
