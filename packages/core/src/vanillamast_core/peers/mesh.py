"""The overlay of one node: dissemination, membership, log readers."""

import random
from collections.abc import Callable, Collection, Sequence
from typing import Any, TypeAlias

import msgspec

from vanillamast_core.announcement import Announcement
from vanillamast_core.errors import CodecError
from vanillamast_core.journal import LogEntry
from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.peers.alarm_set import AlarmSet
from vanillamast_core.peers.catch_up import CatchUp
from vanillamast_core.peers.dialer import Dialer
from vanillamast_core.peers.directory import (
    Directory,
    pack_announcement,
    unpack_announcement,
)
from vanillamast_core.peers.directory_messages import (
    Announcements,
    AnnouncementsRequest,
    DigestReply,
    DigestRequest,
    Liveness,
)
from vanillamast_core.peers.directory_repair import DirectoryRepair
from vanillamast_core.peers.effects import (
    AlarmRaised,
    DirectoryChanged,
    EvidenceReceived,
    PeerEffect,
    ReadLog,
)
from vanillamast_core.peers.entry_spreader import EntrySpreader
from vanillamast_core.peers.entry_store import EntryStore
from vanillamast_core.peers.evidence_tree import EvidenceTree
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
from vanillamast_core.peers.link_table import LinkTable
from vanillamast_core.peers.local_health import LocalHealth
from vanillamast_core.peers.membership import Membership
from vanillamast_core.peers.message import Message
from vanillamast_core.peers.move_messages import Alarms, Evidence
from vanillamast_core.peers.overlay import Overlay
from vanillamast_core.peers.reader_choice import ReaderChoice
from vanillamast_core.peers.settings import PeerSettings

CHECK_S = 1.0  # Interval of the check for silent and unneeded links.
SEEDS_AT_ONCE = 2  # Seeds dialed at a time by a node without links.
MAX_SEEDS = 64
BUSY_DIALS = 3  # Refusals for too many links after which a peer is avoided.
LINK_BUSY_RETRY_S = 1.0
REFERRALS = 4  # Addresses that a full node names to one that it refuses.

Handler: TypeAlias = Callable[["Mesh", Link, Any, float], None]
handlers: dict[type[Message], Handler] = {}


def handles(kind: type[Message]) -> Callable[[Handler], Handler]:
    """Returns a decorator that registers the handler of a message kind."""

    def decorate(handler: Handler) -> Handler:
        handlers[kind] = handler
        return handler

    return decorate


class Mesh:
    """The overlay of one node, without sockets and clock.

    Each public method that takes the time returns the effects that the
    caller carries out in order. The caller ticks every
    `PeerSettings.tick_s`.

    Attributes:
      settings: Timeouts and limits.
      rng: Source of randomness.
      store: The fold of the log.
      directory: All known instances.
      links: Links of this node.
      alarms: Moves that were taken back.
      reading_log: Whether this node should read the platform's log.
      seeds: Addresses of any nodes, to find the mesh.
      referrals: Addresses that a full node named, tried before the seeds.
      avoided: Until when an instance is not dialed.
    """

    def __init__(
        self,
        settings: PeerSettings,
        own: Announcement,
        rng: random.Random,
        journal: EntryStore,
        seeds: Collection[str] = (),
    ):
        self.settings = settings
        self.rng = rng
        self.store = journal
        self.directory = Directory(settings.dead_retention_s)
        self.links = LinkTable(own.instance, 1.5 * settings.heartbeat_s)
        self.alarms = AlarmSet()
        self.health = LocalHealth(settings)
        self.membership = Membership(
            settings, own, self.directory, self.links, self.health
        )
        self.overlay = Overlay(own)
        self.readers = ReaderChoice(own, settings.readers_per_domain)
        self.dialer = Dialer(settings, rng, self.links)
        self.spreader = EntrySpreader(settings, journal, self.links)
        self.catch_up = CatchUp(
            settings, rng, journal, self.links, self.spreader, self.dialer
        )
        self.repair = DirectoryRepair(
            settings, self.directory, self.alarms, self.membership, self.links
        )
        self.evidence = EvidenceTree(
            settings,
            own.instance,
            own.failure_domain,
            self.directory,
            self.links,
        )
        self.reading_log = False
        self.seeds: list[str] = []
        self.seed_instances: dict[str, str] = {}
        self.referrals: list[str] = []
        self.avoided: dict[str, float] = {}
        self._targets: list[str] | None = None
        self._started_at: float | None = None
        self._next_heartbeat = 0.0
        self._next_check = 0.0
        self._next_probe = 0.0
        self.add_seeds(seeds)
        rng.shuffle(self.seeds)

    @property
    def own(self) -> Announcement:
        """This instance's newest announcement."""
        return self.membership.own

    def add_seeds(self, addresses: Collection[str]) -> None:
        """Adds addresses from settings or beacons, up to a bound."""
        for address in addresses:
            own = address == self.own.peer_address
            if own or address in self.seeds:
                continue
            if len(self.seeds) < MAX_SEEDS:
                self.seeds.append(address)

    def link_count(self) -> int:
        """Returns the number of linked peers."""
        return len(self.links.by_instance)

    def peer_address(self, instance: str) -> str | None:
        """Returns the address of an instance's listener for peers."""
        announcement = self.directory.get(instance)
        return None if announcement is None else announcement.peer_address

    def home_candidates(self, service: str) -> list[str]:
        """Returns the instances among which a key's home is chosen."""
        return [
            instance
            for instance in self.directory.instances_of(service)
            if not self.directory.records[instance].leaving
        ]

    def set_driver(
        self, shard: int, instance: str | None, moves: Collection[int] = ()
    ) -> None:
        """Names the driver of a service shard, for evidence at the root.

        Args:
          shard: Number of the service shard.
          instance: The driver's instance, None if there is none.
          moves: `Move.started_at` of the moves that it drives.
        """
        self.evidence.set_driver(shard, instance, moves)

    def tick(self, now: float) -> list[PeerEffect]:
        """Runs everything that is due."""
        self._begin(now)
        self.health.tick(now)
        if now >= self._next_heartbeat:
            self._next_heartbeat = now + self.settings.heartbeat_s
            self._send_heartbeats()
        if now >= self._next_check:
            self._next_check = now + CHECK_S
            self._check_links(now)
            self._expire_dials(now)
        self.membership.tick(now)
        self.catch_up.tick(now)
        self.evidence.tick(now)
        self._dial_wanted(now)
        return self._finish(now)

    def link_up(
        self, link: int, now: float, dialed: str | None = None
    ) -> list[PeerEffect]:
        """Handles a link that came up.

        Args:
          link: Number that the transport chose.
          now: The time.
          dialed: The address if this node dialed.
        """
        self._begin(now)
        state = Link(link, dialed, opened_at=now, heard_at=now)
        if dialed is not None:
            self.dialer.connected(dialed)
        elif len(self.links.by_id) >= self.settings.max_links:
            self._refer(state)
            return self._finish(now)
        self.links.add(state)
        hello = Hello(
            pack_announcement(self.own),
            self.store.offset,
            self.repair.digest(),
        )
        self.links.send(state, hello)
        return self._finish(now)

    def link_down(self, link: int, now: float) -> list[PeerEffect]:
        """Handles a link that the peer or the network closed."""
        self._begin(now)
        state = self.links.by_id.get(link)
        if state is not None:
            self._lose(state, now)
            self._probe_leaver(state.instance, now)
            if state.instance and self.health.link_lost(self.link_count(), now):
                self._restart_timers(now)
        return self._finish(now)

    def dial_failed(
        self, address: str, refused: bool, now: float
    ) -> list[PeerEffect]:
        """Handles a dial that ended without a link.

        Args:
          address: The dialed address.
          refused: Whether the machine answered that nothing listens there.
          now: The time.
        """
        self._begin(now)
        self._dial_failed(address, refused, now)
        return self._finish(now)

    def receive(
        self, link: int, message: Message, now: float
    ) -> list[PeerEffect]:
        """Handles a message from a peer."""
        self._begin(now)
        state = self.links.by_id.get(link)
        handler = handlers.get(type(message))
        if state is not None and handler is not None:
            state.heard_at = now
            if state.instance or isinstance(message, Hello | Busy):
                handler(self, state, message, now)
        return self._finish(now)

    def records_read(
        self, entries: Sequence[LogEntry], now: float
    ) -> list[PeerEffect]:
        """Handles entries that this node read from the platform's log."""
        self._begin(now)
        before = self.store.offset
        self.spreader.offer(entries, None)
        if self.store.offset > before:
            self.catch_up.advanced(now)
        return self._finish(now)

    def announce(self, own: Announcement, now: float) -> list[PeerEffect]:
        """Spreads a changed announcement of this instance at once.

        The mesh raises the incarnation if needed; `own` has it afterwards.
        """
        self._begin(now)
        leaving = own.leaving or self.own.leaving
        self.membership.announce(msgspec.structs.replace(own, leaving=leaving))
        return self._finish(now)

    def leave(self, now: float) -> list[PeerEffect]:
        """Tells all linked peers that this instance is leaving."""
        self._begin(now)
        leaving = msgspec.structs.replace(self.own, leaving=True)
        self.membership.announce(leaving)
        return self._finish(now)

    def raise_alarm(
        self, started_at: int, reason: str, now: float
    ) -> list[PeerEffect]:
        """Marks a move as taken back, everywhere and for good."""
        self._begin(now)
        self._merge_alarms({started_at: reason}, None)
        return self._finish(now)

    def send_evidence(
        self, cells: Sequence[EvidenceCell], now: float
    ) -> list[PeerEffect]:
        """Takes this node's evidence; sent with the next batch."""
        self._begin(now)
        self.evidence.add(tuple(cells))
        return self._finish(now)

    def _begin(self, now: float) -> None:
        if self._started_at is None:
            self._start(now)
        if self.health.observe(now):
            self._restart_timers(now)

    def _start(self, now: float) -> None:
        self._started_at = now
        settings = self.settings
        self._next_heartbeat = now + self.rng.random() * settings.heartbeat_s
        self._next_check = now + self.rng.random() * CHECK_S
        self._next_probe = now + settings.rejoin_min_s

    def _finish(self, now: float) -> list[PeerEffect]:
        if self.directory.changed or self.directory.changed_services:
            self._note_changes()
        self._choose_readers(now)
        effects = self.links.out
        if effects:
            self.links.out = []
        return effects

    def _note_changes(self) -> None:
        instances, services = self.directory.take_changes()
        for instance in instances:
            record = self.directory.records.get(instance)
            self.overlay.update(instance, record)
            self.readers.update(instance, record)
        if instances:
            self._targets = None
        self.links.out.append(DirectoryChanged(frozenset(services)))

    def _choose_readers(self, now: float) -> None:
        started_at = now if self._started_at is None else self._started_at
        ready = now - started_at >= self.settings.reader_grace_s
        active = ready and self.own.instance in self.readers.chosen()
        if active != self.reading_log:
            self.reading_log = active
            self.links.out.append(ReadLog(active))

    def _restart_timers(self, now: float) -> None:
        """Restarts what ends in a suspicion after this node was impaired."""
        for link in self.links.by_id.values():
            link.heard_at = now
        self.membership.restart_timers(now)
        self.dialer.restart_timers(now)

    def _send_heartbeats(self) -> None:
        heartbeat = Heartbeat(
            self.store.offset, self.repair.digest(), self.health.lag_ms
        )
        self.links.flood(heartbeat)

    def _check_links(self, now: float) -> None:
        silent = []
        limit = self.settings.silence_s * self.health.factor(now)
        for link in list(self.links.by_id.values()):
            quiet = now - link.heard_at
            if not link.instance and quiet >= self.settings.hello_timeout_s:
                self._drop_unnamed(link, now)
            elif quiet >= limit:
                silent.append(link)
            elif link.dialed is not None:
                self._close_unwanted(link, now)
        self._close_silent(silent, now)

    def _drop_unnamed(self, link: Link, now: float) -> None:
        self.links.close(link)
        if link.dialed is not None:
            self._dial_failed(link.dialed, False, now)

    def _close_silent(self, silent: list[Link], now: float) -> None:
        """Closes silent links and suspects their peers.

        If most links fell silent at once, the fault is more likely here.
        """
        peers = []
        impaired = self.health.impaired(now)
        for link in silent:
            self.links.close(link)
            self._lose(link, now)
            if link.instance in self.links.by_instance or not link.instance:
                continue
            peers.append(link.instance)
        for _ in peers:
            impaired |= self.health.link_lost(self.link_count(), now)
        if impaired:
            return
        for instance in peers:
            self.membership.accuse(instance, now)

    def _probe_leaver(self, instance: str, now: float) -> None:
        """Dials a leaving instance once whose link went down.

        It is nobody's dial target, so otherwise no refused dial would tell
        soon that it is gone.
        """
        linked = instance in self.links.by_instance
        if instance not in self.directory.leaving or linked:
            return
        address = self.peer_address(instance)
        if address:
            self.dialer.probe(address, instance, now)

    def _close_unwanted(self, link: Link, now: float) -> None:
        targets = self._current_targets()
        wanted = (
            link.instance in targets or link.instance in self.evidence.wanted
        )
        if wanted:
            link.unwanted_since = None
        elif link.unwanted_since is None:
            link.unwanted_since = now
        elif now - link.unwanted_since >= self.settings.unwanted_grace_s and (
            all(name in self.links.by_instance for name in targets)
        ):
            self.links.close(link)
            self.catch_up.lost(link, now)
            self.spreader.lost(link)

    def _lose(self, link: Link, now: float) -> None:
        self.links.forget(link)
        self.catch_up.lost(link, now)
        self.spreader.lost(link)
        if link.dialed is not None:
            self.dialer.lost(link.dialed, link.instance, now)

    def _dial_failed(self, address: str, refused: bool, now: float) -> None:
        attempt = self.dialer.failed(address, now)
        self._rotate_seed(address)
        instance = attempt.instance
        since = now if attempt.failing_since is None else attempt.failing_since
        gone = refused or now - since >= self.settings.silence_s
        linked = instance in self.links.by_instance
        if not instance or linked or not gone or self.health.impaired(now):
            return
        if self.membership.refuted_lately(instance, now):
            self._avoid(instance, now)
        else:
            self.membership.accuse(instance, now)

    def _avoid(self, instance: str, now: float) -> None:
        """Dials others for a while in place of an unreachable instance.

        An instance that others reach refutes each suspicion; accusing it
        again and again would load the whole mesh.
        """
        self.avoided[instance] = now + self.settings.avoid_s
        self._targets = None

    def _refer(self, link: Link) -> None:
        """Refuses a link and names linked peers, which have room more likely.

        When a whole failure domain starts at once, all of its nodes dial the
        same few seeds.
        """
        linked = sorted(self.links.by_instance)
        names = self.rng.sample(linked, min(REFERRALS, len(linked)))
        addresses = [self.peer_address(name) for name in names]
        peers = tuple(address for address in addresses if address)
        self.links.send(link, Busy(LINK_BUSY_RETRY_S, peers))
        self.links.close(link)

    def _rotate_seed(self, address: str) -> None:
        if address in self.referrals:
            self.referrals.remove(address)
        if address in self.seeds:
            self.seeds.remove(address)
            self.seeds.append(address)

    def _expire_dials(self, now: float) -> None:
        for address in self.dialer.overdue(now):
            self._dial_failed(address, False, now)
        for instance, until in list(self.avoided.items()):
            if now >= until:
                del self.avoided[instance]
                self._targets = None

    def _current_targets(self) -> list[str]:
        if self._targets is None:
            self._targets = self.overlay.targets(self.avoided)
        return self._targets

    def _dial_wanted(self, now: float) -> None:
        for instance in self._current_targets():
            if instance not in self.links.by_instance:
                self._dial_instance(instance, now)
        for instance in self.evidence.wanted:
            if instance not in self.links.by_instance:
                self._dial_instance(instance, now)
        if not self.links.by_instance:
            for address in (self.referrals + self.seeds)[:SEEDS_AT_ONCE]:
                known = self.seed_instances.get(address, "")
                self.dialer.want(address, known, now)
        if now >= self._next_probe:
            self._probe(now)

    def _dial_instance(self, instance: str, now: float) -> None:
        address = self.peer_address(instance)
        if address:
            self.dialer.want(address, instance, now)

    def _probe(self, now: float) -> None:
        """Dials a dead or leaving instance or an unlinked seed.

        This heals partitions, and finds out that an instance is gone which
        nobody else dials.
        """
        count = self.directory.member_count(self.own.failure_domain)
        interval = max(
            self.settings.rejoin_min_s, count / self.settings.rejoin_rate
        )
        self._next_probe = now + interval * (0.5 + self.rng.random())
        addresses = [a for a in self.seeds if not self._is_seed_known(a)]
        absent = sorted(self.directory.dead | self.directory.leaving)
        choice = self.rng.randrange(len(addresses) + len(absent) or 1)
        if choice < len(addresses):
            self.dialer.probe(addresses[choice], "", now)
        elif absent:
            instance = absent[choice - len(addresses)]
            address = self.peer_address(instance)
            if address and instance not in self.links.by_instance:
                self.dialer.probe(address, instance, now)

    def _is_seed_known(self, address: str) -> bool:
        instance = self.seed_instances.get(address)
        if instance is None or instance not in self.directory.records:
            instance = self.directory.find_address(address)
        if instance is None:
            return False
        self.seed_instances[address] = instance
        # The dead are probed anyway.
        return True

    def _merge_alarms(self, moves: dict[int, str], source: Link | None) -> None:
        news = self.alarms.merge(moves)
        for started_at, reason in news.items():
            self.links.out.append(AlarmRaised(started_at, reason))
        if news:
            self.links.flood(Alarms(news), source)

    @handles(Hello)
    def _on_hello(self, link: Link, message: Hello, now: float) -> None:
        try:
            announcement = unpack_announcement(message.announcement)
        except CodecError:
            self._drop_unnamed(link, now)
            return
        instance = announcement.instance
        if instance == self.own.instance:
            self.links.close(link)
            self.seeds = [a for a in self.seeds if a != link.dialed]
            return
        self._reached(link, instance, now)
        if not self.links.establish(link, instance, now):
            return
        self.membership.take_announcements((announcement,), link)
        self.membership.contradict(link, announcement.incarnation)
        self.catch_up.saw_offset(link, message.offset, now)
        self.repair.saw_hello(link, message.digest)
        self.catch_up.saw_hello(link, now)

    def _reached(self, link: Link, instance: str, now: float) -> None:
        self.referrals.clear()
        self.membership.accused.pop(instance, None)
        if self.avoided.pop(instance, None) is not None:
            self._targets = None
        if link.dialed is None:
            return
        if link.dialed in self.seeds:
            self.seed_instances[link.dialed] = instance
        expected = self.dialer.reached(link.dialed)
        if expected and expected != instance:
            # The expected instance was replaced at its address.
            self.membership.accuse(expected, now)

    @handles(Heartbeat)
    def _on_heartbeat(self, link: Link, message: Heartbeat, now: float) -> None:
        self.catch_up.saw_offset(link, message.offset, now)
        self.repair.saw_heartbeat(link, message.digest, now)

    @handles(Entries)
    def _on_entries(self, link: Link, message: Entries, now: float) -> None:
        if not message.entries:
            return
        before = self.store.offset
        fresh = self.spreader.offer(message.entries, link)
        self.catch_up.saw_offset(link, message.entries[-1].offset, now)
        if self.store.offset > before:
            self.catch_up.advanced(now)
        if fresh:
            self.catch_up.answered(link, now)
        elif link is not self.catch_up.asked:
            self.links.send(link, Prune())

    @handles(Prune)
    def _on_prune(self, link: Link, message: Prune, now: float) -> None:
        link.eager = False

    @handles(Graft)
    def _on_graft(self, link: Link, message: Graft, now: float) -> None:
        link.eager = True
        self.catch_up.answer(link, message.after, now)

    @handles(StateRequest)
    def _on_state_request(
        self, link: Link, message: StateRequest, now: float
    ) -> None:
        self.catch_up.answer(link, message.after, now)

    @handles(StateChunk)
    def _on_state_chunk(
        self, link: Link, message: StateChunk, now: float
    ) -> None:
        if self.catch_up.take_chunk(link, message, now):
            self._send_heartbeats()

    @handles(Busy)
    def _on_busy(self, link: Link, message: Busy, now: float) -> None:
        if link.instance:
            self.catch_up.refused(link, now)
            return
        self.links.close(link)
        if link.dialed is None:
            return
        attempt = self.dialer.failed(link.dialed, now)
        self._rotate_seed(link.dialed)
        if not self.links.by_instance:
            self.referrals = list(message.peers[:REFERRALS])
        if attempt.instance and attempt.failures >= BUSY_DIALS:
            self._avoid(attempt.instance, now)

    @handles(Announcements)
    def _on_announcements(
        self, link: Link, message: Announcements, now: float
    ) -> None:
        self.repair.take_announcements(link, message.items)

    @handles(Liveness)
    def _on_liveness(self, link: Link, message: Liveness, now: float) -> None:
        self.membership.take_claims(message.claims, now)

    @handles(DigestRequest)
    def _on_digest_request(
        self, link: Link, message: DigestRequest, now: float
    ) -> None:
        self.repair.take_request(link, message)

    @handles(DigestReply)
    def _on_digest_reply(
        self, link: Link, message: DigestReply, now: float
    ) -> None:
        self.repair.take_reply(link, message, now)

    @handles(AnnouncementsRequest)
    def _on_announcements_request(
        self, link: Link, message: AnnouncementsRequest, now: float
    ) -> None:
        self.repair.send_announcements(link, message.instances)

    @handles(Alarms)
    def _on_alarms(self, link: Link, message: Alarms, now: float) -> None:
        self._merge_alarms(message.moves, link)

    @handles(Evidence)
    def _on_evidence(self, link: Link, message: Evidence, now: float) -> None:
        if message.final:
            self.links.out.append(EvidenceReceived(message.cells))
        else:
            self.evidence.add(message.cells)
