"""Fuzzes what a fleet remembers of servers, against an oracle.

Nodes are killed, the store is away, connections are opened by either side,
heartbeats arrive late and servers are replaced. Connections deliver messages
between real meshes and registries; time and sockets are left out.
"""

import asyncio
import os
from collections import deque
from types import SimpleNamespace

import hypothesis
import msgspec
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.membership.heartbeat import Heartbeat
from vanillamast_sidecar.membership.instance_facts import MAX_FACTS, find_facts
from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.membership.server_registry import ServerRegistry
from vanillamast_sidecar.mesh.mesh import Mesh
from vanillamast_sidecar.mesh.messages import Hello, Records
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.rollouts.move_table import MoveTable
from vanillamast_sidecar.settings import Address, Bounds, SidecarSettings

MACHINES = 3
LONG_AFTER = 1e9
machines = strategies.integers(0, MACHINES - 1)
LOG = EventLogger("m", os.open(os.devnull, os.O_WRONLY))


def make_settings(number):
    """Returns the settings of a node; each has a failure domain of its own."""
    address = Address(f"10.0.0.{number + 1}", 1)
    return SidecarSettings(
        address.host,
        f"d{number}",
        "browse",
        *[address] * 6,
        1.5,
        Bounds(2.0, 6.0, 2.0, 0.2, 10.0, 60.0, 0.1, 50.0, 5.0),
        FieldNames(*[b"x"] * 8),
    )


class Connection:
    """One direction of a connection; messages wait in the fleet's queue.

    Attributes:
      address: Node at the other end.
      peer_address: The same, by the name that accepted connections use.
    """

    def __init__(self, fleet, address, deliver):
        self.fleet = fleet
        self.address = self.peer_address = address
        self.deliver = deliver
        self.up = True
        self.last_used_at = 0.0
        self.codec = SimpleNamespace(enable_compression=lambda: None)

    def send(self, message):
        """Sends a message."""
        copy = msgspec.msgpack.decode(
            msgspec.msgpack.encode(message), type=type(message)
        )
        self.fleet.queue.append((self, copy))


class Process:
    """One process of a node.

    Attributes:
      known: Departures that it has been told, by machine, as the oracle says.
      limit: Newest rate limit of its server that it has been told, with its
        time and incarnation.
    """

    def __init__(self, fleet, number, incarnation):
        self.fleet = fleet
        self.number = number
        settings = make_settings(number)
        self.address = str(settings.peer_listener)
        self.known = [set() for _ in range(MACHINES)]
        self.limits = [(0, None, None)] * MACHINES
        self.registry = ServerRegistry(1.5)

        async def run(call):
            return CallResult(Outcome.NOT_RUN)

        self.mesh = Mesh(
            settings,
            NodeRecord(self.address, f"d{number}", incarnation, 0, False, None),
            MoveTable(lambda _: None),
            run,
            lambda: LoadReport(0, 0, 0.0, 0.0),
            LOG,
            Metrics(),
        )
        self.mesh.on_facts = self.handle_facts
        self.mesh._broadcast_frame = lambda _: self.broadcast()
        self.mesh._select_hubs = lambda _: None
        self.mesh.duty.relay.add = lambda *_, **__: None
        self.mesh.send = self.send

    @property
    def membership(self):
        """What the process knows of the nodes."""
        return self.mesh.membership

    def handle_facts(self, facts):
        """Applies what others know of this node's server."""
        if self.registry.apply_facts(facts):
            self.announce()

    def announce(self):
        """Announces this node's server."""
        self.mesh.announce(
            self.registry.current, False, False, self.registry.facts
        )

    def broadcast(self):
        """Sends this node's record on each of its connections."""
        for connection in self.fleet.connections(self.number):
            connection.send(Records([self.membership.own.record]))

    def send(self, address, message):
        """Sends a message to a node, if there is a connection."""
        for connection in self.fleet.connections(self.number):
            if connection.address == address:
                connection.send(message)

    def make_stored_record(self):
        """Returns this node's record as the store has to have it."""
        own = self.membership.own.record
        return msgspec.structs.replace(
            own,
            instance=self.registry.departed or own.instance,
            facts=self.registry.facts,
        )


class Server:
    """One incarnation of a server.

    Attributes:
      pings: Heartbeats that it has sent while it was ready.
      left: Whether it has said that it leaves.
    """

    def __init__(self, number, born_ms):
        self.number = number
        self.id = f"i-{number}-{born_ms % 3}"  # Some ids are used again.
        self.born_ms = born_ms
        self.pings = []
        self.left = False

    @property
    def key(self):
        """Returns id and start."""
        return self.id, self.born_ms

    def ping(self, draining=False):
        """Returns its next heartbeat."""
        heartbeat = Heartbeat(
            self.id,
            self.born_ms,
            len(self.pings) + 1,
            "browse",
            f"10.0.0.{self.number + 1}:80",
            "v1",
            4,
            draining,
            0.0,
        )
        if not draining:
            self.pings.append(heartbeat)
        return heartbeat


class FactsMachine(RuleBasedStateMachine):
    """A fleet, its store and its servers."""

    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.clock = 1000
        self.queue = deque()
        self.links = {}
        self.store = {}
        self.store_known = [set() for _ in range(MACHINES)]
        self.store_limits = [(0, None, None)] * MACHINES
        self.store_up = True
        self.servers = [[] for _ in range(MACHINES)]
        self.processes = [None] * MACHINES
        self.call(self.start_all)

    async def start_all(self):
        """Starts a process on each machine, and a server beside it."""
        for number in range(MACHINES):
            self.processes[number] = Process(self, number, self.clock)
            self.servers[number].append(Server(number, self.tick()))

    def call(self, function, *args):
        """Runs a function within the event loop."""

        async def run():
            result = function(*args)
            if asyncio.iscoroutine(result):
                await result
            self.deliver_all()

        self.loop.run_until_complete(run())

    def teardown(self):
        """Ends the event loop."""
        self.call(self.check_convergence)
        self.loop.close()

    def tick(self):
        """Returns a later time than before."""
        self.clock += 1
        return self.clock

    # Connections.

    def connections(self, number):
        """Returns the sending ends of a machine's connections."""
        return [ends[number] for ends in self.links.values() if number in ends]

    def deliver_all(self):
        """Delivers messages until none is left."""
        for _ in range(10_000):
            if not self.queue:
                return
            connection, message = self.queue.popleft()
            if connection.up:
                connection.deliver(message)
        raise AssertionError("messages without end")

    def share(self, first, second):
        """Notes what two processes tell each other of their servers."""
        for process, other in ((first, second), (second, first)):
            number = process.number
            both = process.known[number] | other.known[number]
            process.known[number] = set(both)
            other.known[number] = set(both)
            limit = max(
                process.limits[number], other.limits[number], key=lambda x: x[0]
            )
            process.limits[number] = other.limits[number] = limit

    def spread(self, number):
        """Notes what a process has announced on its connections."""
        process = self.processes[number]
        for pair in self.links:
            if number in pair:
                (other,) = pair - {number}
                other = self.processes[other]
                other.known[number] |= process.known[number]
                other.limits[number] = process.limits[number]

    def close(self, pair):
        """Closes a connection; what is on its way is lost."""
        for end in self.links.pop(pair, {}).values():
            end.up = False
        for number in pair:
            (other,) = pair - {number}
            process = self.processes[number]
            peer = process.membership.peers.get(self.processes[other].address)
            if peer is not None:
                peer.link = None

    @rule(opener=machines, other=machines)
    def connect(self, opener, other):
        """A node opens a connection to another one."""
        if opener != other:
            self.call(self.open, opener, other)

    def open(self, opener, other):
        """Opens a connection and exchanges hello and welcome."""
        pair = frozenset((opener, other))
        self.close(pair)
        first, second = self.processes[opener], self.processes[other]
        link = Connection(
            self,
            second.address,
            lambda m: second.mesh._handle_inbound_message(accepted, m),
        )
        accepted = Connection(self, first.address, lambda m: receive_on_link(m))

        def receive_on_link(message):
            first.mesh._handle_link_message(link, message)
            peer = first.membership.peers.get(second.address)
            if peer is not None:
                peer.link = link

        hello = Hello(first.membership.own.record, first.mesh.wants_nodes)
        link.send(hello)
        self.deliver_all()
        self.links[pair] = {opener: link, other: accepted}
        if first.membership.own.record != hello.record:
            link.send(Records([first.membership.own.record]))
        second.broadcast()
        self.share(first, second)
        self.deliver_all()
        self.spread(opener)
        self.spread(other)

    @rule(first=machines, second=machines)
    def cut(self, first, second):
        """A connection ends."""
        if first != second:
            self.close(frozenset((first, second)))

    @rule(number=machines)
    def remind(self, number):
        """A node tells the others what they have forgotten."""
        self.call(self.run_maintenance, number)

    def run_maintenance(self, number):
        """Runs the maintenance of a node, long after the last one."""
        process = self.processes[number]
        process.mesh._remind_nodes(0.0)
        process.mesh._remind_nodes(LONG_AFTER)
        self.deliver_all()
        for pair in list(self.links):
            if number in pair:
                (other,) = pair - {number}
                self.share(process, self.processes[other])
                self.spread(other)

    # Processes and the store.

    @rule(number=machines, clock_step=strategies.sampled_from([1, 1, -50]))
    def kill(self, number, clock_step):
        """A node is killed and starts again; its clock may be set back."""
        for pair in [pair for pair in self.links if number in pair]:
            self.close(pair)
        previous = self.processes[number].membership.own.record.incarnation

        async def start():
            self.processes[number] = Process(
                self, number, max(1, previous + clock_step)
            )

        self.call(start)

    @rule(
        number=machines,
        other=machines,
        opens=strategies.booleans(),
        named=strategies.sampled_from(["", "limit", "none"]),
    )
    def restart_beside(self, number, other, opens, named):
        """A node restarts; one of two nodes connects to the other.

        Its server may respond before that.
        """
        self.kill(number, 1)
        if named:
            limit = 5.0 if named == "limit" else None
            self.call(self.handle_limit, number, limit)
        if opens:
            self.connect(number, other)
        else:
            self.connect(other, number)

    @rule(up=strategies.booleans())
    def switch_store(self, up):
        """The store goes away or comes back."""
        self.store_up = up

    @rule(number=machines)
    def read_store(self, number):
        """A node reads the list of nodes."""
        if self.store_up:
            self.call(self.list_nodes, number)

    def list_nodes(self, number):
        """Applies the list; a node knows what it says of its own server."""
        process = self.processes[number]
        process.mesh.apply_listed_nodes(list(self.store.values()))
        for machine in range(MACHINES):
            if self.processes[machine].address in self.store:
                process.known[machine] |= self.store_known[machine]
                process.limits[machine] = max(
                    process.limits[machine],
                    self.store_limits[machine],
                    key=lambda x: x[0],
                )
        self.spread(number)

    @rule(number=machines)
    def write_store(self, number):
        """A node writes its record."""
        if self.store_up:
            self.call(self.write_record, number)

    def write_record(self, number):
        """Writes the record as a node does that has read the list."""
        self.list_nodes(number)
        self.deliver_all()
        process = self.processes[number]
        self.store[process.address] = process.make_stored_record()
        self.store_known[number] = set(process.known[number])
        self.store_limits[number] = process.limits[number]

    # Servers.

    def handle(self, number, heartbeat):
        """A heartbeat arrives at the node."""
        process = self.processes[number]
        if process.registry.handle_heartbeat(heartbeat, 0.0):
            process.announce()

    @rule(number=machines)
    def heartbeat(self, number):
        """The newest server sends a heartbeat."""
        server = self.servers[number][-1]
        if not server.left:
            self.call(self.handle, number, server.ping())

    @rule(number=machines, choice=strategies.integers(0, 99))
    def late_heartbeat(self, number, choice):
        """A heartbeat arrives that was sent while its server was ready."""
        pings = [ping for s in self.servers[number] for ping in s.pings]
        if pings:
            self.call(self.handle, number, pings[choice % len(pings)])

    @rule(
        number=machines,
        way=strategies.sampled_from(["drain", "deregister", "response"]),
    )
    def leave(self, number, way):
        """The newest server says that it leaves, and is acknowledged."""
        self.call(self.handle_leave, number, way)

    def handle_leave(self, number, way):
        """Applies a departure at the node beside the server."""
        process, server = self.processes[number], self.servers[number][-1]
        registry = process.registry
        if way == "drain":
            changed = registry.handle_heartbeat(server.ping(True), 0.0)
        elif way == "deregister":
            changed = registry.handle_deregistration(*server.key, self.clock)
        else:
            changed = registry.mark_leaving(*server.key)
        server.left = True
        if changed:
            process.announce()
        process.known[number].add(server.key)
        self.spread(number)

    @rule(number=machines, caller=machines)
    def leave_unheard(self, number, caller):
        """Only the calling node hears of a departure: the other one ends."""
        self.call(self.handle_unheard, number, caller)
        self.kill(number, 1)

    def handle_unheard(self, number, caller):
        """Applies a response at the node that had sent the request."""
        server = self.servers[number][-1]
        process = self.processes[caller]
        peer = process.membership.peers.get(self.processes[number].address)
        instance = peer.record.instance if peer is not None else None
        if peer is None or peer.is_self or instance is None:
            return
        if (instance.id, instance.born_ms) == server.key:
            process.membership.mark_leaving(peer, instance)
            server.left = True
            process.known[number].add(server.key)

    @rule(number=machines, limit=strategies.sampled_from([None, 5.0, 10.0]))
    def name_limit(self, number, limit):
        """A response of the newest server names a rate limit, or none."""
        self.call(self.handle_limit, number, limit)

    def handle_limit(self, number, limit):
        """Applies a rate limit at the node beside the server."""
        process, server = self.processes[number], self.servers[number][-1]
        now = self.tick()
        if process.registry.apply_rate_limit(*server.key, limit, now):
            process.announce()
        _, key, known = process.limits[number]
        if (key, known) != (server.key, limit):
            process.limits[number] = (now, server.key, limit)
        self.spread(number)

    @rule(number=machines)
    def replace(self, number):
        """The server has ended, and another one starts."""
        server = Server(number, self.tick())
        self.servers[number].append(server)
        self.call(self.handle, number, server.ping())

    # What has to hold.

    @invariant()
    def departures_are_remembered(self):
        """A process that was told of a departure would not use the server."""
        for process in self.processes:
            for number in range(MACHINES):
                newest = sorted(process.known[number], key=lambda key: key[1])
                for key in newest[-MAX_FACTS:]:
                    assert self.is_leaving(process, number, key)

    def is_leaving(self, process, number, key):
        """Returns whether a process takes an incarnation for leaving."""
        if process.number == number:
            return process.registry._is_leaving(*key)
        address = self.processes[number].address
        facts = process.membership.facts.get(address, ())
        found = find_facts(facts, key)
        return found is not None and found.leaving

    @invariant()
    def limits_are_remembered(self):
        """A process that was told of a rate limit keeps to it."""
        for process in self.processes:
            _, key, limit = process.limits[process.number]
            current = process.registry.current
            if current is not None and key == (current.id, current.born_ms):
                assert current.rate_limit == limit

    @invariant()
    def departed_servers_are_not_used(self):
        """No process that was told of a departure uses the server."""
        for process in self.processes:
            for number in range(MACHINES):
                instance = self.find_instance(process, number)
                if instance is None or not instance.ready:
                    continue
                key = (instance.id, instance.born_ms)
                assert key not in process.known[number]

    def find_instance(self, process, number):
        """Returns a machine's server as a process knows it."""
        if process.number == number:
            return process.registry.current
        address = self.processes[number].address
        peer = process.membership.peers.get(address)
        return peer.record.instance if peer is not None else None

    def check_convergence(self):
        """Everything comes back; then all know what anyone knew."""
        self.store_up = True
        for _ in range(2):
            for number in range(MACHINES):
                self.write_record(number)
                self.deliver_all()
            for first in range(MACHINES):
                for second in range(first):
                    self.open(first, second)
            for number in range(MACHINES):
                self.run_maintenance(number)
        for number in range(MACHINES):
            self.write_record(number)
            self.deliver_all()
            self.check_machine(number)

    def check_machine(self, number):
        """Checks one machine's server and its record in the store."""
        process = self.processes[number]
        for server in self.servers[number]:
            for ping in server.pings:
                self.handle(number, ping)
        self.deliver_all()
        self.departed_servers_are_not_used()
        self.departures_are_remembered()
        self.limits_are_remembered()
        stored = self.store[process.address].facts
        newest = sorted(process.known[number], key=lambda key: key[1])
        for key in newest[-MAX_FACTS:]:
            if find_facts(stored, key) is None:
                assert len(stored) == MAX_FACTS
            else:
                assert find_facts(stored, key).leaving
        current = process.registry.current
        last = self.servers[number][-1]
        if last.pings and last.key not in process.known[number]:
            assert current.ready


TestFacts = FactsMachine.TestCase
TestFacts.settings = hypothesis.settings(
    max_examples=400, stateful_step_count=50, deadline=None
)
