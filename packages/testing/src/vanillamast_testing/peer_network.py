"""An in-memory network of meshes on a test clock."""

import heapq
import random
import time
from collections.abc import Callable, Iterable

import msgspec
from vanillamast_core import Announcement, ServerState
from vanillamast_core.journal import LogEntry
from vanillamast_core.peers import (
    AlarmRaised,
    CloseLink,
    Dial,
    EntriesApplied,
    EvidenceReceived,
    Mesh,
    Message,
    PeerEffect,
    PeerSettings,
    ReadLog,
    Send,
    StateLoaded,
    message_codec,
)

from vanillamast_testing.memory_entry_store import MemoryEntryStore
from vanillamast_testing.simulated_link import SimulatedLink
from vanillamast_testing.simulated_node import SimulatedNode

# One-way delays between nodes; `CROSS_DOMAIN_S` is from design section 1.2.
SAME_DOMAIN_S = 0.00025
CROSS_DOMAIN_S = 0.0005
CROSS_REGION_S = 0.020  # A continental distance; the design names none.
LOG_READ_S = 0.005
DIAL_TIMEOUT_S = 2.0
HTTP2_DATA_BYTES = 9  # Frame header, RFC 9113.
GRPC_PREFIX_BYTES = 5
TCP_IP_BYTES = 52  # IPv4 20, TCP 20, timestamps 12.
PROTOBUF_BYTES = 3  # Tag and length of `Frame.payload`.
FRAME_BYTES = (
    HTTP2_DATA_BYTES + GRPC_PREFIX_BYTES + TCP_IP_BYTES + PROTOBUF_BYTES
)

MeshCall = Callable[[Mesh, float], list[PeerEffect]]


class PeerNetwork:
    """Nodes, links, a log and their failures, on one simulated clock.

    Attributes:
      settings: Settings of all meshes.
      rng: Source of all randomness.
      now: Simulated time in seconds.
      nodes: Nodes by name.
      log: The platform's log; element i has offset i + 1.
      log_up: Whether reads of the log are answered.
      first_retained: Lowest offset that the log still has.
      seeds: Seed addresses of all nodes.
      groups: Group of a node while the network is cut, 0 by default.
      blocked: Pairs of failure domains that cannot reach each other.
      measure: Whether processor time and bytes are recorded. Messages are
        then delivered as objects; otherwise each is encoded and decoded.
    """

    def __init__(
        self,
        seed: int,
        settings: PeerSettings | None = None,
        measure: bool = False,
    ):
        self.settings = settings or PeerSettings()
        self.rng = random.Random(seed)
        self.now = 0.0
        self.nodes: dict[str, SimulatedNode] = {}
        self.log: list[LogEntry] = []
        self.log_up = True
        self.first_retained = 1
        self.seeds: list[str] = []
        self.groups: dict[str, int] = {}
        self.blocked: set[frozenset[str]] = set()
        self.measure = measure
        self.padding = 0
        self.tail_entries = 1024
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._last_dialer_link_id = 0
        self._by_address: dict[str, str] = {}
        self._last_size: tuple[Message | None, int] = (None, 0)

    def add(
        self,
        name: str,
        region: str,
        failure_domain: str,
        service: str = "browse",
    ) -> SimulatedNode:
        """Adds a node that is not started yet."""
        address = f"{name}:1"
        announcement = Announcement(
            instance=name,
            incarnation=1,
            region=region,
            failure_domain=failure_domain,
            peer_address=address,
            service=service,
            server_version="1",
            server_address=f"{name}:2",
            state=ServerState.SERVING,
        )
        node = SimulatedNode(announcement, None, MemoryEntryStore())
        self.nodes[name] = node
        self._by_address[address] = name
        return node

    def start(self, name: str) -> None:
        """Starts a node's process with an empty state."""
        node = self.nodes[name]
        node.generation += 1
        node.paused = False
        node.reachable = True
        node.reads_log = False
        node.deferred.clear()
        incarnation = int(self.now * 1000) + node.generation
        node.announcement = msgspec.structs.replace(
            node.announcement, incarnation=incarnation, leaving=False
        )
        node.store = MemoryEntryStore(self.tail_entries, self.padding)
        seed = self.rng.getrandbits(64)
        node.mesh = Mesh(
            self.settings,
            node.announcement,
            random.Random(seed),
            node.store,
            self.seeds,
        )
        first = self.rng.random() * self.settings.tick_s
        self._schedule_tick(name, node.generation, first)

    def run(self, seconds: float) -> None:
        """Advances the clock and handles all events on the way."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end

    def append(self, data: bytes) -> LogEntry:
        """Appends a record to the log."""
        entry = LogEntry(len(self.log) + 1, data)
        self.log.append(entry)
        self._schedule_all_reads()
        return entry

    def set_log(self, up: bool) -> None:
        """Starts or ends an outage of the log."""
        self.log_up = up
        if up:
            self._schedule_all_reads()

    def pause(self, name: str) -> None:
        """Pauses a process; its links stay open and its messages wait."""
        self.nodes[name].paused = True

    def resume(self, name: str) -> None:
        """Continues a paused process."""
        node = self.nodes[name]
        node.paused = False
        deferred, node.deferred = node.deferred, []
        for action in deferred:
            action()

    def kill(self, name: str, machine: bool = False) -> None:
        """Kills a process, or its whole machine, which resets no links."""
        node = self.nodes[name]
        node.mesh = None
        node.generation += 1
        node.paused = False
        node.reachable = not machine
        node.deferred.clear()
        for link in list(node.links.values()):
            side = link.ends.index(name)
            link.open[side] = False
            if not machine:
                self._deliver(link, side, None)
        node.links.clear()

    def cut(self, groups: dict[str, int], reset: bool) -> None:
        """Separates groups of nodes.

        Args:
          groups: Group by node; the others are in group 0.
          reset: Whether links between groups are reset at once; otherwise
            messages on them wait for the end of the cut.
        """
        self.groups = dict(groups)
        if not reset:
            return
        for link in self._open_links():
            if self.separated(*link.ends):
                for side in (0, 1):
                    self._close_end(link, side)

    def block(self, pairs: Iterable[frozenset[str]]) -> None:
        """Cuts exactly these pairs of failure domains from each other.

        Messages between cut domains wait; those between domains that are no
        longer cut are delivered.
        """
        self.blocked = set(pairs)
        self._deliver_held()

    def heal(self) -> None:
        """Ends all cuts."""
        self.groups = {}
        self.blocked = set()
        self._deliver_held()

    def _deliver_held(self) -> None:
        for link in self._open_links():
            for side in (0, 1):
                held = list(link.held[side])
                link.held[side].clear()
                for message in held:
                    self._deliver(link, side, message)

    def break_links(self, name: str, count: int) -> None:
        """Resets some of a node's links."""
        node = self.nodes[name]
        ids = sorted(node.links)
        for link_id in self.rng.sample(ids, min(count, len(ids))):
            link = node.links[link_id]
            for side in (0, 1):
                self._close_end(link, side)

    def call(self, name: str, action: MeshCall) -> None:
        """Calls a mesh and executes its effects."""
        node = self.nodes[name]
        if node.mesh is None:
            return
        if node.paused:
            node.deferred.append(lambda: self.call(name, action))
            return
        if self.measure:
            started = time.process_time()
            effects = action(node.mesh, self.now)
            node.cpu_s += time.process_time() - started
        else:
            effects = action(node.mesh, self.now)
        for effect in effects:
            self._execute_effect(name, node, effect)

    def running_nodes(self) -> list[str]:
        """Returns the nodes whose process runs."""
        return [n for n, node in self.nodes.items() if node.mesh is not None]

    def mesh(self, name: str) -> Mesh:
        """Returns the mesh of a running node.

        Raises:
          ValueError: The process is down.
        """
        mesh = self.nodes[name].mesh
        if mesh is None:
            raise ValueError(f"{name} is down")
        return mesh

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        self._sequence += 1
        event = (self.now + delay, self._sequence, action)
        heapq.heappush(self._events, event)

    def delay_s(self, first: str, second: str) -> float:
        """Returns the one-way delay between two nodes."""
        a = self.nodes[first].announcement
        b = self.nodes[second].announcement
        if a.failure_domain == b.failure_domain:
            return SAME_DOMAIN_S
        return CROSS_DOMAIN_S if a.region == b.region else CROSS_REGION_S

    def _schedule_tick(self, name: str, generation: int, delay: float) -> None:
        self.call_later(delay, lambda: self._tick(name, generation))

    def _tick(self, name: str, generation: int) -> None:
        node = self.nodes[name]
        if node.generation != generation:
            return
        if node.paused:
            node.deferred.append(lambda: self._tick(name, generation))
            return
        self.call(name, lambda mesh, now: mesh.tick(now))
        self._schedule_tick(name, generation, self.settings.tick_s)

    def _execute_effect(
        self, name: str, node: SimulatedNode, effect: PeerEffect
    ) -> None:
        if isinstance(effect, Send):
            self._send(name, node, effect)
        elif isinstance(effect, Dial):
            self._dial(name, node.generation, effect.address)
        elif isinstance(effect, CloseLink):
            link = node.links.pop(effect.link_id, None)
            if link is not None:
                side = link.ids.index(effect.link_id)
                link.open[side] = False
                self._deliver(link, side, None)
        elif isinstance(effect, ReadLog):
            node.reads_log = effect.active
            self._schedule_read(name, node)
        elif isinstance(effect, EntriesApplied):
            for entry in effect.entries:
                node.applied_at.setdefault(entry.offset, self.now)
        elif isinstance(effect, StateLoaded):
            node.applied_at.setdefault(effect.offset, self.now)
        elif isinstance(effect, AlarmRaised):
            node.alarms[effect.started_at] = effect.reason
        elif isinstance(effect, EvidenceReceived):
            node.evidence.extend(effect.cells)

    def _send(self, name: str, node: SimulatedNode, effect: Send) -> None:
        message = effect.message
        if self.measure:
            node.sent_bytes += self._size(message)
        else:
            message = message_codec.decode(message_codec.encode(message))
        link = node.links.get(effect.link_id)
        if link is not None:
            side = link.ids.index(effect.link_id)
            self._deliver(link, side, message)

    def _size(self, message: Message) -> int:
        """Returns a message's bytes on the wire.

        A message that is sent on several links in a row is encoded once.
        """
        if self._last_size[0] is not message:
            size = len(message_codec.encode(message)) + FRAME_BYTES
            self._last_size = message, size
        return self._last_size[1]

    def _deliver(
        self, link: SimulatedLink, side: int, message: Message | None
    ) -> None:
        """Schedules the arrival of a message, or of the link's end for None."""
        if self.separated(*link.ends):
            link.held[side].append(message)
            return
        delay = self.delay_s(*link.ends) * (1 + 0.1 * self.rng.random())
        link.ready_at[side] = max(link.ready_at[side], self.now + delay)
        wait = link.ready_at[side] - self.now
        if message is None:
            self.call_later(wait, lambda: self._close_end(link, 1 - side))
        else:
            self.call_later(wait, lambda: self._receive(link, side, message))

    def _receive(
        self, link: SimulatedLink, side: int, message: Message
    ) -> None:
        other = 1 - side
        name, link_id = link.ends[other], link.ids[other]
        node = self.nodes[name]
        if not link.open[other] or node.generation != link.generations[other]:
            if node.reachable and link.open[side]:
                self._deliver(link, other, None)  # The machine resets it.
            return
        self.call(
            name, lambda mesh, now: mesh.handle_message(link_id, message, now)
        )

    def _close_end(self, link: SimulatedLink, side: int) -> None:
        if not link.open[side]:
            return
        link.open[side] = False
        name, link_id = link.ends[side], link.ids[side]
        node = self.nodes[name]
        node.links.pop(link_id, None)
        if node.generation == link.generations[side]:
            self.call(
                name, lambda mesh, now: mesh.handle_link_down(link_id, now)
            )

    def _dial(self, name: str, generation: int, address: str) -> None:
        target = self._by_address.get(address)
        if target is None or self.separated(name, target):
            self._fail_dial(name, generation, address, False, DIAL_TIMEOUT_S)
            return
        round_trip = 2 * self.delay_s(name, target)
        node = self.nodes[target]
        if node.mesh is None:
            wait = round_trip if node.reachable else DIAL_TIMEOUT_S
            self._fail_dial(name, generation, address, node.reachable, wait)
            return
        self.call_later(
            round_trip, lambda: self._connect(name, generation, target, address)
        )

    def _fail_dial(
        self,
        name: str,
        generation: int,
        address: str,
        refused: bool,
        wait: float,
    ) -> None:
        def fail() -> None:
            if self.nodes[name].generation == generation:
                self.call(
                    name,
                    lambda mesh, now: mesh.handle_dial_failed(
                        address, refused, now
                    ),
                )

        self.call_later(wait, fail)

    def _connect(
        self, name: str, generation: int, target: str, address: str
    ) -> None:
        dialer, acceptor = self.nodes[name], self.nodes[target]
        if dialer.generation != generation:
            return
        if acceptor.mesh is None or self.separated(name, target):
            self._fail_dial(name, generation, address, acceptor.reachable, 0.0)
            return
        self._last_dialer_link_id += 2
        first, second = self._last_dialer_link_id, self._last_dialer_link_id + 1
        link = SimulatedLink(
            (name, target),
            (dialer.generation, acceptor.generation),
            (first, second),
        )
        dialer.links[first] = link
        acceptor.links[second] = link
        self.call(
            name, lambda mesh, now: mesh.handle_link_up(first, now, address)
        )
        self.call(target, lambda mesh, now: mesh.handle_link_up(second, now))

    def _open_links(self) -> Iterable[SimulatedLink]:
        found: dict[int, SimulatedLink] = {}
        for node in self.nodes.values():
            for link in node.links.values():
                found[link.ids[0]] = link
        return list(found.values())

    def separated(self, first: str, second: str) -> bool:
        """Returns whether two nodes are cut from each other."""
        if self.blocked:
            a = self.nodes[first].announcement.failure_domain
            b = self.nodes[second].announcement.failure_domain
            if frozenset({a, b}) in self.blocked:
                return True
        if not self.groups:
            return False
        return self.groups.get(first, 0) != self.groups.get(second, 0)

    def _schedule_all_reads(self) -> None:
        for name, node in self.nodes.items():
            if node.reads_log and node.mesh is not None:
                self._schedule_read(name, node)

    def _schedule_read(self, name: str, node: SimulatedNode) -> None:
        generation = node.generation
        delay = LOG_READ_S * (0.5 + self.rng.random())
        self.call_later(delay, lambda: self._read(name, generation))

    def _read(self, name: str, generation: int) -> None:
        node = self.nodes[name]
        if node.generation != generation or not node.reads_log:
            return
        if not self.log_up or node.log_cut:
            return
        if node.paused:
            node.deferred.append(lambda: self._read(name, generation))
            return
        after = node.store.offset
        if after + 1 < self.first_retained:
            return
        entries = self.log[after:]
        if entries:
            self.call(
                name, lambda mesh, now: mesh.handle_entries_read(entries, now)
            )
