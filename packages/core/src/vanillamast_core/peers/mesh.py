"""Peer overlay of one node: gossip, membership and log readers."""

import random
from collections.abc import Callable, Collection, Sequence
from typing import Any, TypeAlias

import msgspec

from vanillamast_core.announcement import Announcement
from vanillamast_core.errors import CodecError
from vanillamast_core.journal import LogEntry
from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.peers.alarm_set import AlarmSet
from vanillamast_core.peers.anti_entropy import AntiEntropy
from vanillamast_core.peers.catch_up import CatchUp
from vanillamast_core.peers.connector import Connector
from vanillamast_core.peers.directory_messages import (
    Announcements,
    AnnouncementsRequest,
    DigestReply,
    DigestRequest,
    Liveness,
)
from vanillamast_core.peers.effects import (
    AlarmRaised,
    DirectoryChanged,
    EvidenceReceived,
    PeerEffect,
    ReadLog,
)
from vanillamast_core.peers.entry_broadcaster import EntryBroadcaster
from vanillamast_core.peers.entry_store import EntryStore
from vanillamast_core.peers.evidence_tree import EvidenceTree
from vanillamast_core.peers.instance_directory import (
    InstanceDirectory,
    pack_announcement,
    unpack_announcement,
)
from vanillamast_core.peers.link import Link
from vanillamast_core.peers.link_messages import (
    Busy,
    Entries,
    Graft,
    Heartbeat,
    Hello,
    Prune,
    StateChunk,
    StateRequest,
)
from vanillamast_core.peers.link_monitor import MISSED_HEARTBEATS, LinkMonitor
from vanillamast_core.peers.link_table import LinkTable
from vanillamast_core.peers.local_health import LocalHealth
from vanillamast_core.peers.log_reader_selector import LogReaderSelector
from vanillamast_core.peers.membership_protocol import MembershipProtocol
from vanillamast_core.peers.message import Message
from vanillamast_core.peers.move_messages import Alarms, Evidence
from vanillamast_core.peers.settings import PeerSettings

LINK_CHECK_S = 1.0  # Interval of the link monitor's checks.

Handler: TypeAlias = Callable[["Mesh", Link, Any, float], None]
handlers: dict[type[Message], Handler] = {}


def handles(kind: type[Message]) -> Callable[[Handler], Handler]:
    """Returns a decorator that registers the handler of a message kind."""

    def decorate(handler: Handler) -> Handler:
        handlers[kind] = handler
        return handler

    return decorate


class Mesh:
    """The peer overlay of one node, without I/O and clock.

    Each public method that takes the time returns effects, which the caller
    carries out in order. The caller calls `tick` every
    `PeerSettings.tick_s`.

    Attributes:
      settings: Timeouts and limits.
      rng: Source of randomness.
      store: The state built from the log.
      directory: Announcement and liveness of all known instances.
      links: Links of this node.
      alarms: Moves that were rolled back.
      membership: Gossips announcements and detects failures.
      reading_log: Whether this node should read the platform's log.
    """

    def __init__(
        self,
        settings: PeerSettings,
        own: Announcement,
        rng: random.Random,
        store: EntryStore,
        seeds: Collection[str] = (),
    ):
        self.settings = settings
        self.rng = rng
        self.store = store
        self.directory = InstanceDirectory(settings.dead_retention_s)
        self.links = LinkTable(
            own.instance, MISSED_HEARTBEATS * settings.heartbeat_s
        )
        self.alarms = AlarmSet()
        self.health = LocalHealth(settings)
        self.membership = MembershipProtocol(
            settings, own, self.directory, self.links, self.health
        )
        self.log_readers = LogReaderSelector(own, settings.readers_per_domain)
        self.evidence = EvidenceTree(
            settings,
            own.instance,
            own.failure_domain,
            self.directory,
            self.links,
        )
        self.connector = Connector(
            settings,
            own,
            rng,
            self.directory,
            self.links,
            self.membership,
            self.health,
            self.evidence.wanted_links,
        )
        self.link_monitor = LinkMonitor(
            settings,
            self.links,
            self.connector,
            self.membership,
            self.health,
        )
        self.broadcaster = EntryBroadcaster(settings, store, self.links)
        self.catch_up = CatchUp(
            settings,
            rng,
            store,
            self.links,
            self.broadcaster,
            self.connector.dialer,
        )
        self.anti_entropy = AntiEntropy(
            settings, self.directory, self.alarms, self.membership, self.links
        )
        self.reading_log = False
        self._started_at: float | None = None
        self._next_heartbeat_at = 0.0
        self._next_check_at = 0.0
        self.add_seeds(seeds)
        rng.shuffle(self.connector.seeds)

    @property
    def own(self) -> Announcement:
        """This instance's newest announcement."""
        return self.membership.own

    def add_seeds(self, addresses: Collection[str]) -> None:
        """Adds addresses from settings or beacons, up to a limit."""
        self.connector.add_seeds(addresses)

    def count_links(self) -> int:
        """Returns the number of linked peers."""
        return len(self.links.by_instance)

    def find_peer_address(self, instance: str) -> str | None:
        """Returns the address of an instance's listener for peers."""
        return self.directory.get_peer_address(instance)

    def find_home_candidates(self, service: str) -> list[str]:
        """Returns the candidates for the home node of a key."""
        return [
            instance
            for instance in self.directory.get_live_instances(service)
            if not self.directory.records[instance].leaving
        ]

    def set_driver(
        self, shard: int, instance: str | None, moves: Collection[int] = ()
    ) -> None:
        """Sets the driver of a service shard, to which the root sends evidence.

        Args:
          shard: Number of the service shard.
          instance: The driver's instance, None if there is none.
          moves: `Move.started_at` of the moves that it drives.
        """
        self.evidence.set_driver(shard, instance, moves)

    def tick(self, now: float) -> list[PeerEffect]:
        """Runs all timers that are due."""
        self._begin_call(now)
        self.health.record_tick(now)
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + self.settings.heartbeat_s
            self._send_heartbeats()
        if now >= self._next_check_at:
            self._next_check_at = now + LINK_CHECK_S
            for link in self.link_monitor.check(now):
                self._handle_link_lost(link, now)
            self.connector.handle_timeouts(now)
        self.membership.tick(now)
        self.catch_up.tick(now)
        self.evidence.tick(now)
        self.connector.dial_due(now)
        return self._finish_call(now)

    def handle_link_up(
        self, link_id: int, now: float, dialed_address: str | None = None
    ) -> list[PeerEffect]:
        """Handles a link that came up.

        Args:
          link_id: Number assigned by the transport.
          now: The time.
          dialed_address: The dialed address, None if the peer dialed.
        """
        self._begin_call(now)
        link = Link(
            link_id, dialed_address, opened_at=now, last_received_at=now
        )
        if dialed_address is not None:
            self.connector.dialer.handle_connected(dialed_address)
        elif len(self.links.by_id) >= self.settings.max_links:
            self.connector.refuse_link(link)
            return self._finish_call(now)
        self.links.add(link)
        hello = Hello(
            pack_announcement(self.own),
            self.store.offset,
            self.anti_entropy.digest(),
        )
        self.links.send(link, hello)
        return self._finish_call(now)

    def handle_link_down(self, link_id: int, now: float) -> list[PeerEffect]:
        """Handles a link that the peer or the network closed."""
        self._begin_call(now)
        link = self.links.by_id.get(link_id)
        if link is not None:
            self.links.remove(link)
            self._handle_link_lost(link, now)
            self.connector.handle_link_lost(link, now)
            if link.instance and self.health.record_link_loss(
                self.count_links(), now
            ):
                self._restart_timers(now)
        return self._finish_call(now)

    def handle_dial_failed(
        self, address: str, refused: bool, now: float
    ) -> list[PeerEffect]:
        """Handles a dial that ended without a link.

        Args:
          address: The dialed address.
          refused: Whether the connection was refused (TCP).
          now: The time.
        """
        self._begin_call(now)
        self.connector.handle_dial_failed(address, refused, now)
        return self._finish_call(now)

    def handle_message(
        self, link_id: int, message: Message, now: float
    ) -> list[PeerEffect]:
        """Handles a message from a peer."""
        self._begin_call(now)
        link = self.links.by_id.get(link_id)
        handler = handlers.get(type(message))
        if link is not None and handler is not None:
            link.last_received_at = now
            if link.instance or isinstance(message, Hello | Busy):
                handler(self, link, message, now)
        return self._finish_call(now)

    def handle_entries_read(
        self, entries: Sequence[LogEntry], now: float
    ) -> list[PeerEffect]:
        """Handles entries that this node read from the platform's log."""
        self._begin_call(now)
        before = self.store.offset
        self.broadcaster.add_entries(entries, None)
        if self.store.offset > before:
            self.catch_up.handle_progress(now)
        return self._finish_call(now)

    def handle_state_replaced(self, now: float) -> list[PeerEffect]:
        """Handles a state that the caller restored from the log itself.

        Heartbeats with the new offset are sent at once.
        """
        self._begin_call(now)
        self.broadcaster.discard_applied()
        self.broadcaster.apply_pending(None)
        self.catch_up.handle_progress(now)
        self._send_heartbeats()
        return self._finish_call(now)

    def announce(self, own: Announcement, now: float) -> list[PeerEffect]:
        """Floods a changed announcement of this instance at once.

        The mesh raises the incarnation if needed; `own` holds it afterwards.
        """
        self._begin_call(now)
        leaving = own.leaving or self.own.leaving
        self.membership.announce(msgspec.structs.replace(own, leaving=leaving))
        return self._finish_call(now)

    def leave(self, now: float) -> list[PeerEffect]:
        """Announces that this instance is leaving."""
        self._begin_call(now)
        leaving = msgspec.structs.replace(self.own, leaving=True)
        self.membership.announce(leaving)
        return self._finish_call(now)

    def raise_alarm(
        self, started_at: int, reason: str, now: float
    ) -> list[PeerEffect]:
        """Marks a move as rolled back on all nodes, permanently."""
        self._begin_call(now)
        self._merge_alarms({started_at: reason}, None)
        return self._finish_call(now)

    def add_evidence(
        self, cells: Sequence[EvidenceCell], now: float
    ) -> list[PeerEffect]:
        """Adds this node's evidence to the next batch."""
        self._begin_call(now)
        self.evidence.add_cells(tuple(cells))
        return self._finish_call(now)

    def _begin_call(self, now: float) -> None:
        if self._started_at is None:
            self._start(now)
        if self.health.detect_late_tick(now):
            self._restart_timers(now)

    def _start(self, now: float) -> None:
        self._started_at = now
        settings = self.settings
        self._next_heartbeat_at = now + self.rng.random() * settings.heartbeat_s
        self._next_check_at = now + self.rng.random() * LINK_CHECK_S

    def _finish_call(self, now: float) -> list[PeerEffect]:
        if self.directory.changed or self.directory.changed_services:
            self._apply_directory_changes()
        self._update_log_reading(now)
        effects, self.links.effects = self.links.effects, []
        return effects

    def _apply_directory_changes(self) -> None:
        instances, services = self.directory.take_changes()
        for instance in instances:
            record = self.directory.records.get(instance)
            self.log_readers.update(instance, record)
        self.connector.apply_changes(instances)
        self.links.effects.append(DirectoryChanged(frozenset(services)))

    def _update_log_reading(self, now: float) -> None:
        started_at = now if self._started_at is None else self._started_at
        ready = now - started_at >= self.settings.reader_grace_s
        active = ready and self.own.instance in self.log_readers.get_selected()
        if active != self.reading_log:
            self.reading_log = active
            self.links.effects.append(ReadLog(active))

    def _restart_timers(self, now: float) -> None:
        """Restarts timers that end in suspicions, as this node was impaired."""
        for link in self.links.by_id.values():
            link.last_received_at = now
        self.membership.restart_timers(now)
        self.connector.dialer.restart_timers(now)

    def _send_heartbeats(self) -> None:
        heartbeat = Heartbeat(
            self.store.offset, self.anti_entropy.digest(), self.health.lag_ms
        )
        self.links.flood(heartbeat)

    def _handle_link_lost(self, link: Link, now: float) -> None:
        self.catch_up.handle_link_lost(link, now)
        self.broadcaster.handle_link_lost(link)

    def _merge_alarms(self, moves: dict[int, str], source: Link | None) -> None:
        new = self.alarms.merge(moves)
        for started_at, reason in new.items():
            self.links.effects.append(AlarmRaised(started_at, reason))
        if new:
            self.links.flood(Alarms(new), source)

    @handles(Hello)
    def _handle_hello(self, link: Link, message: Hello, now: float) -> None:
        try:
            announcement = unpack_announcement(message.announcement)
        except CodecError:
            self.link_monitor.drop_without_hello(link, now)
            return
        instance = announcement.instance
        if instance == self.own.instance:
            self.connector.drop_link_to_self(link)
            return
        self.connector.handle_hello(link, instance, now)
        if not self.links.assign_peer(link, instance, now):
            return
        self.membership.merge_announcements((announcement,), link)
        self.membership.notify_if_not_alive(link, announcement.incarnation)
        self.membership.send_suspicions(link)
        self.catch_up.record_peer_offset(link, message.offset, now)
        self.anti_entropy.handle_hello(link, message.digest)
        self.catch_up.handle_hello(link, now)

    @handles(Heartbeat)
    def _handle_heartbeat(
        self, link: Link, message: Heartbeat, now: float
    ) -> None:
        self.catch_up.record_peer_offset(link, message.offset, now)
        self.anti_entropy.handle_heartbeat(link, message.digest, now)

    @handles(Entries)
    def _handle_entries(self, link: Link, message: Entries, now: float) -> None:
        if not message.entries:
            return
        before = self.store.offset
        fresh = self.broadcaster.add_entries(message.entries, link)
        self.catch_up.record_peer_offset(link, message.entries[-1].offset, now)
        if self.store.offset > before:
            self.catch_up.handle_progress(now)
        if fresh:
            self.catch_up.handle_entries(link, now)
        elif link is not self.catch_up.asked_link:
            self.links.send(link, Prune())

    @handles(Prune)
    def _handle_prune(self, link: Link, message: Prune, now: float) -> None:
        link.eager = False

    @handles(Graft)
    def _handle_graft(self, link: Link, message: Graft, now: float) -> None:
        link.eager = True
        self.catch_up.serve_request(link, message.after, now)

    @handles(StateRequest)
    def _handle_state_request(
        self, link: Link, message: StateRequest, now: float
    ) -> None:
        self.catch_up.serve_request(link, message.after, now)

    @handles(StateChunk)
    def _handle_state_chunk(
        self, link: Link, message: StateChunk, now: float
    ) -> None:
        if self.catch_up.handle_chunk(link, message, now):
            self._send_heartbeats()

    @handles(Busy)
    def _handle_busy(self, link: Link, message: Busy, now: float) -> None:
        if link.instance:
            self.catch_up.handle_busy(link, now)
        else:
            self.connector.handle_link_refused(link, message, now)

    @handles(Announcements)
    def _handle_announcements(
        self, link: Link, message: Announcements, now: float
    ) -> None:
        self.anti_entropy.handle_announcements(link, message.items)

    @handles(Liveness)
    def _handle_liveness(
        self, link: Link, message: Liveness, now: float
    ) -> None:
        self.membership.merge_claims(message.claims, now)

    @handles(DigestRequest)
    def _handle_digest_request(
        self, link: Link, message: DigestRequest, now: float
    ) -> None:
        self.anti_entropy.handle_digest_request(link, message)

    @handles(DigestReply)
    def _handle_digest_reply(
        self, link: Link, message: DigestReply, now: float
    ) -> None:
        self.anti_entropy.handle_digest_reply(link, message, now)

    @handles(AnnouncementsRequest)
    def _handle_announcements_request(
        self, link: Link, message: AnnouncementsRequest, now: float
    ) -> None:
        self.anti_entropy.send_announcements(link, message.instances)

    @handles(Alarms)
    def _handle_alarms(self, link: Link, message: Alarms, now: float) -> None:
        self._merge_alarms(message.moves, link)

    @handles(Evidence)
    def _handle_evidence(
        self, link: Link, message: Evidence, now: float
    ) -> None:
        if message.final:
            self.links.effects.append(EvidenceReceived(message.cells))
        else:
            self.evidence.add_cells(message.cells)
