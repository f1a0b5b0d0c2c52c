"""Tests of the search for a free slot, also under load."""

import dataclasses
import heapq
import itertools
import random

import msgspec
from vanillamast_sidecar.admission.admission_queue import AdmissionQueue
from vanillamast_sidecar.balancing.slot_search import (
    MAX_ASKED_SERVERS,
    SlotSearch,
)
from vanillamast_sidecar.membership.load_report import LoadReport

from tests.sidecar.routing.test_server_selector import Chooser

NODES = 12
SERVERS = 8
SLOTS = 2
MEAN_S = 0.06
REPORT_INTERVAL_S = 0.1
RATE_PER_S = 0.8 * SERVERS * SLOTS / MEAN_S
DURATION_S = 30.0


class TestSlotSearch:
    """How many servers are asked."""

    def test_it_ends(self):
        """Guards against requests that ask servers until their deadline."""
        search = SlotSearch()
        for n in range(MAX_ASKED_SERVERS):
            assert not search.is_over
            search.add_busy(f"i-{n}")
        assert search.is_over

    def test_it_ends_without_servers(self):
        """Guards against a request that never waits as nobody can be asked."""
        search = SlotSearch()
        search.end()
        assert search.is_over


@dataclasses.dataclass
class LoadModel:
    """Nodes that choose by stale reports, and queues of servers.

    Attributes:
      searches: Whether requests look for a free slot before they wait.
      now: Time, in seconds.
      waited: Requests that waited although another server had a free slot.
      started: Requests sent to each server.
      waits: Waits of all requests, in seconds.
    """

    searches: bool
    now: float = 0.0
    waited: int = 0
    started: list[int] = dataclasses.field(
        default_factory=lambda: [0] * SERVERS
    )
    waits: list[float] = dataclasses.field(default_factory=list)

    def __post_init__(self):
        self.rng = random.Random(7)
        self.nodes = [Chooser(n, SERVERS) for n in range(NODES)]
        self.queues = [AdmissionQueue(SLOTS) for _ in range(SERVERS)]
        for node in self.nodes:
            for peer in node.membership.other_peers():
                instance = msgspec.structs.replace(
                    peer.record.instance, slots=SLOTS
                )
                peer.record = msgspec.structs.replace(
                    peer.record, instance=instance
                )
        for queue in self.queues:
            queue.slots = SLOTS
            queue.mean_service_s = MEAN_S
        self.sequence = itertools.count()
        self.events = []

    def push(self, at, action, *arguments):
        """Schedules an action."""
        heapq.heappush(
            self.events, (at, next(self.sequence), action, arguments)
        )

    def run(self):
        """Plays all events."""
        self.push(0.0, self.report)
        self.push(0.0, self.arrive)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self

    def load(self, server):
        """Returns the load report of a server."""
        queue = self.queues[server]
        return LoadReport(queue.running, queue.size, MEAN_S, 0.0)

    def report(self):
        """Tells all nodes the load of all servers."""
        for node in self.nodes:
            for server in range(SERVERS):
                self.peer(node, server).apply_load_report(
                    self.load(server), self.now
                )
        if self.now < DURATION_S:
            self.push(self.now + REPORT_INTERVAL_S, self.report)

    def peer(self, node, server):
        """Returns a server's peer as a node knows it."""
        return node.membership.peers[f"10.1.0.{server}:2"]

    def arrive(self):
        """Starts a request at a random node."""
        if self.now < DURATION_S:
            self.push(self.now + self.rng.expovariate(RATE_PER_S), self.arrive)
        node = self.rng.choice(self.nodes)
        arguments = ("browse", 1, self.now + 10.0, self.now)
        peers = node.membership.peers_serving("browse")
        search = SlotSearch()
        while self.searches and not search.is_over:
            peer = node.selector.choose_to_ask(peers, search.busy, *arguments)
            if peer is None:
                break
            server = int(peer.record.address.split(":")[0].rpartition(".")[2])
            queue = self.queues[server]
            if queue.try_acquire_slot(self.now):
                self.start(node, server, self.now)
                return
            peer.apply_load_report(self.load(server), self.now)
            peer.handle_busy()
            search.add_busy(peer.record.instance.id)
        peer = node.selector.choose(peers, set(), *arguments)
        server = int(peer.record.address.split(":")[0].rpartition(".")[2])
        queue = self.queues[server]
        if queue.try_acquire_slot(self.now):
            self.start(node, server, self.now)
            return
        if any(
            other.running < SLOTS and not other.size for other in self.queues
        ):
            self.waited += 1
        peer.outstanding += 1
        queue.enqueue(1, self.now, MEAN_S, (node, self.now))

    def start(self, node, server, arrived):
        """Runs a request that holds a slot."""
        self.waits.append(self.now - arrived)
        self.started[server] += 1
        if arrived == self.now:
            self.peer(node, server).outstanding += 1
        held_s = self.rng.expovariate(1.0 / MEAN_S)
        self.push(self.now + held_s, self.finish, node, server)

    def finish(self, node, server):
        """Ends a request and starts the next one that waits."""
        queue = self.queues[server]
        peer = self.peer(node, server)
        queue.release_slot()
        peer.apply_load_report(self.load(server), self.now)
        peer.outstanding -= 1
        granted = queue.grant_next(self.now)
        if granted is not None:
            self.start(granted[0], server, granted[1])


class TestLoad:
    """Many nodes that choose by stale reports at four fifths of capacity."""

    def test_few_requests_wait_beside_free_slots(self):
        """Guards against servers that are overloaded while others are idle."""
        before = LoadModel(searches=False).run()
        after = LoadModel(searches=True).run()
        assert after.waited < before.waited / 4

    def test_callers_wait_less(self):
        """Guards against even load that callers pay for."""
        before = LoadModel(searches=False).run().waits
        after = LoadModel(searches=True).run().waits
        assert sum(after) < sum(before) / 2
        last = int(0.99 * len(after))
        assert sorted(after)[last] < sorted(before)[last]

    def test_no_server_gets_most(self):
        """Guards against a server that attracts the requests of all nodes."""
        started = LoadModel(searches=True).run().started
        assert max(started) < 1.2 * sum(started) / SERVERS
