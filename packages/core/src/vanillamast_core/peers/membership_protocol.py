"""Membership protocol: gossip of announcements, failure detection."""

import msgspec

from vanillamast_core.announcement import Announcement
from vanillamast_core.peers.directory_messages import (
    Announcements,
    Liveness,
    LivenessClaim,
)
from vanillamast_core.peers.instance_directory import (
    InstanceDirectory,
    pack_announcement,
)
from vanillamast_core.peers.link import Link
from vanillamast_core.peers.link_table import LinkTable
from vanillamast_core.peers.liveness import LivenessState
from vanillamast_core.peers.local_health import LocalHealth
from vanillamast_core.peers.settings import PeerSettings
from vanillamast_core.peers.suspicion import Suspicion

ANNOUNCEMENTS_PER_MESSAGE = 100  # About 13 KB of announcements.


class MembershipProtocol:
    """Announces this instance and decides on the liveness of others.

    It uses SWIM's suspicion: an instance is suspected first, and is dead if
    it does not refute that in time by an announcement with a higher
    incarnation. The result is stored in `InstanceDirectory`.

    Attributes:
      settings: Timeouts.
      own: This instance's newest announcement.
      directory: The instance directory, which holds the liveness.
      links: Links of this node.
      health: This node's own health.
      suspicions: Suspicions that are not refuted yet, by instance.
      queued_claims: Claims to send at the next tick, by instance.
      deferred: Announcements to send at the next tick, with the links whose
        peers have them already.
      own_suspicions: Incarnation and time of the last suspicion that this
        node raised, by instance.
    """

    def __init__(
        self,
        settings: PeerSettings,
        own: Announcement,
        directory: InstanceDirectory,
        links: LinkTable,
        health: LocalHealth,
    ):
        self.settings = settings
        self.own = own
        self.directory = directory
        self.links = links
        self.health = health
        self.suspicions: dict[str, Suspicion] = {}
        self.queued_claims: dict[str, LivenessClaim] = {}
        self.deferred: dict[str, tuple[Announcement, set[int]]] = {}
        self.own_suspicions: dict[str, tuple[int, float]] = {}
        directory.merge(own)

    def announce(self, own: Announcement) -> None:
        """Floods a changed own announcement with a new incarnation."""
        incarnation = max(own.incarnation, self.own.incarnation + 1)
        self.own = msgspec.structs.replace(own, incarnation=incarnation)
        packed = pack_announcement(self.own)
        self.directory.merge_packed(packed)
        self.links.flood(Announcements((packed,)))

    def refute(self, incarnation: int) -> None:
        """Refutes claims about this instance up to an incarnation."""
        own = msgspec.structs.replace(self.own, incarnation=incarnation + 1)
        self.announce(own)

    def merge_announcements(
        self, items: tuple[Announcement, ...], source: Link | None
    ) -> None:
        """Merges announcements and forwards those that are new.

        A refutation of a claim that this node did not hold waits for the
        next tick: after a partition, hundreds of instances refute at once.
        """
        new = []
        for announcement in items:
            instance = announcement.instance
            if instance == self.own.instance:
                self._check_own_announcement(announcement)
                continue
            is_unprompted = self._is_unprompted_refutation(announcement)
            if self.directory.merge(announcement):
                self.suspicions.pop(instance, None)
                self.deferred.pop(instance, None)
                if is_unprompted:
                    self.deferred[instance] = announcement, set()
                else:
                    new.append(pack_announcement(announcement))
            self._record_holder(announcement, source)
        if new:
            self.links.flood(Announcements(tuple(new)), source)

    def merge_claims(
        self, claims: tuple[LivenessClaim, ...], now: float
    ) -> None:
        """Merges claims of other nodes and queues those that are new."""
        for claim in claims:
            self.merge_claim(claim, now)

    def merge_claim(self, claim: LivenessClaim, now: float) -> None:
        """Merges a claim of another node."""
        if claim.instance == self.own.instance:
            if claim.incarnation >= self.own.incarnation:
                self.refute(claim.incarnation)
            return
        link = self.links.by_instance.get(claim.instance)
        if link is not None and self._is_responsive(link, now):
            # This node still receives messages from the instance, so it asks
            # the instance to refute and does not forward the claim.
            self.links.send(link, Liveness((claim,)))
        elif claim.state is LivenessState.DEAD:
            self._apply_death_claim(claim, now)
        elif claim.state is LivenessState.SUSPECT:
            self._apply_suspicion(claim, now)

    def suspect(self, instance: str, now: float) -> None:
        """Suspects an instance because of this node's own observation."""
        record = self.directory.records.get(instance)
        if record is None or record.liveness is LivenessState.DEAD:
            return
        self.own_suspicions[instance] = record.incarnation, now
        claim = LivenessClaim(
            instance,
            record.incarnation,
            LivenessState.SUSPECT,
            (self.own.instance,),
        )
        self._apply_suspicion(claim, now)

    def declare_dead(self, instance: str, incarnation: int, now: float) -> None:
        """Marks an incarnation of an instance as dead."""
        dead = LivenessState.DEAD
        if self.directory.apply_liveness(instance, incarnation, dead, now):
            self.suspicions.pop(instance, None)

    def notify_if_not_alive(self, link: Link, incarnation: int) -> None:
        """Sends a peer the claim that it is suspect or dead, if any."""
        record = self.directory.records.get(link.instance)
        if (
            record is not None
            and record.liveness is not LivenessState.ALIVE
            and record.incarnation >= incarnation
        ):
            claim = LivenessClaim(
                link.instance, record.incarnation, record.liveness
            )
            self.links.send(link, Liveness((claim,)))

    def send_suspicions(self, link: Link) -> None:
        """Sends the open suspicions to a new peer.

        After a partition, the suspects may be reachable over this link only.
        """
        claims = tuple(
            LivenessClaim(
                instance,
                suspicion.incarnation,
                LivenessState.SUSPECT,
                tuple(sorted(suspicion.suspected_by)),
            )
            for instance, suspicion in self.suspicions.items()
            if suspicion.suspected_by
        )
        if claims:
            self.links.send(link, Liveness(claims))

    def was_recently_refuted(self, instance: str, now: float) -> bool:
        """Returns whether an instance refuted this node's suspicion."""
        own = self.own_suspicions.get(instance)
        record = self.directory.records.get(instance)
        return (
            own is not None
            and record is not None
            and now - own[1] < self.settings.avoid_s
            and record.incarnation > own[0]
        )

    def restart_timers(self, now: float) -> None:
        """Restarts the refutation time of every suspect."""
        for suspicion in self.suspicions.values():
            suspicion.started_at = now

    def tick(self, now: float) -> None:
        """Sends what is queued and ends suspicions that timed out."""
        if self.suspicions:
            self._expire_suspicions(now)
        if self.queued_claims:
            self.links.flood(Liveness(tuple(self.queued_claims.values())))
            self.queued_claims.clear()
        if self.deferred:
            self._send_deferred()
        if self.own_suspicions:
            self._expire_own_suspicions(now)
        self.directory.remove_expired(now)

    def _expire_suspicions(self, now: float) -> None:
        factor = self.health.timeout_factor(now)
        settings = self.settings
        for instance, suspicion in list(self.suspicions.items()):
            agreed = len(suspicion.suspected_by) >= settings.agreeing_watchers
            limit = (
                settings.agreed_suspicion_s if agreed else settings.suspicion_s
            )
            if now - suspicion.started_at >= limit * factor:
                self.declare_dead(instance, suspicion.incarnation, now)
                self.suspicions.pop(instance, None)

    def _expire_own_suspicions(self, now: float) -> None:
        limit = self.settings.avoid_s
        for instance, (_, at) in list(self.own_suspicions.items()):
            if now - at >= limit:
                del self.own_suspicions[instance]

    def _apply_suspicion(self, claim: LivenessClaim, now: float) -> None:
        record = self.directory.records.get(claim.instance)
        if record is None or record.incarnation != claim.incarnation:
            return
        if record.liveness is LivenessState.DEAD:
            return
        suspicion = self.suspicions.get(claim.instance)
        if suspicion is None or suspicion.incarnation != claim.incarnation:
            suspicion = Suspicion(claim.incarnation, now)
            self.suspicions[claim.instance] = suspicion
        state = LivenessState.SUSPECT
        self.directory.apply_liveness(
            claim.instance, claim.incarnation, state, now
        )
        known = len(suspicion.suspected_by)
        if known < self.settings.agreeing_watchers:
            suspicion.suspected_by.update(claim.suspected_by)
        if len(suspicion.suspected_by) > known:
            suspected_by = tuple(sorted(suspicion.suspected_by))
            self.queued_claims[claim.instance] = msgspec.structs.replace(
                claim, suspected_by=suspected_by
            )

    def _apply_death_claim(self, claim: LivenessClaim, now: float) -> None:
        """Gives an instance time to refute before it is marked as dead.

        After a partition, each part claims that the other's instances are
        dead, and a node must not stop using those of its own part for that.
        """
        record = self.directory.records.get(claim.instance)
        if record is None or claim.incarnation < record.incarnation:
            return
        if record.liveness is LivenessState.DEAD:
            self.declare_dead(claim.instance, claim.incarnation, now)
            return
        suspicion = self.suspicions.get(claim.instance)
        if suspicion is None or suspicion.incarnation < claim.incarnation:
            suspicion = Suspicion(claim.incarnation, now)
            self.suspicions[claim.instance] = suspicion
            self.queued_claims[claim.instance] = claim

    def _is_unprompted_refutation(self, announcement: Announcement) -> bool:
        """Returns whether only the incarnation of a non-suspect changed."""
        old = self.directory.get_announcement(announcement.instance)
        if old is None:
            return False
        liveness = self.directory.get_liveness(announcement.instance)
        same = msgspec.structs.replace(old, incarnation=0) == (
            msgspec.structs.replace(announcement, incarnation=0)
        )
        return same and liveness is not LivenessState.SUSPECT

    def _record_holder(
        self, announcement: Announcement, source: Link | None
    ) -> None:
        waiting = self.deferred.get(announcement.instance)
        if source is not None and waiting and waiting[0] == announcement:
            waiting[1].add(source.id)

    def _send_deferred(self) -> None:
        waiting = [
            (pack_announcement(announcement), holders)
            for announcement, holders in self.deferred.values()
        ]
        self.deferred.clear()
        for link in self.links.by_instance.values():
            items = [
                packed for packed, holders in waiting if link.id not in holders
            ]
            for start in range(0, len(items), ANNOUNCEMENTS_PER_MESSAGE):
                batch = items[start : start + ANNOUNCEMENTS_PER_MESSAGE]
                self.links.send(link, Announcements(tuple(batch)))

    def _check_own_announcement(self, announcement: Announcement) -> None:
        """Refutes an announcement that is left from before a restart."""
        newer = announcement.incarnation > self.own.incarnation
        same = announcement.incarnation == self.own.incarnation
        if newer or (same and announcement != self.own):
            self.refute(announcement.incarnation)

    def _is_responsive(self, link: Link, now: float) -> bool:
        return now - link.last_received_at < 1.5 * self.settings.heartbeat_s
