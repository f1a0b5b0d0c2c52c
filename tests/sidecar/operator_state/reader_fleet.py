"""A failure domain of nodes whose store is silent in part."""

import asyncio
import collections
import dataclasses
import os
import random
from types import SimpleNamespace

from vanillamast_sidecar.errors import StoreUnknownOutcomeError
from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.applied_operator_state import (
    AppliedOperatorState,
)
from vanillamast_sidecar.operator_state.operator_state_sync import (
    OperatorStateSync,
)
from vanillamast_sidecar.operator_state.reader_timing import ReaderTiming
from vanillamast_sidecar.operator_state.store import MoveStates, OperatorUpdate
from vanillamast_sidecar.rollouts.move_spec import MoveSpec
from vanillamast_sidecar.rollouts.move_table import MoveTable

APPLY_S = 2.0
# The deployment's bounds hold once the store has been whole for this long.
STABLE_WINDOW_S = 3.0
LATENCY_S = 0.004
CLIENT_TIMEOUT_S = 1.0
HEARTBEAT_S = 0.2
HUBS = 2
# Other nodes notice after this time that a node has ended.
DETECTION_S = 0.6


@dataclasses.dataclass
class Silence:
    """A part of the store that gives no answers for a while.

    Attributes:
      from_s: When it begins.
      to_s: When it ends.
      direction: What is lost: "requests" do not arrive, "answers" are not
        sent, "rests" of answers are not sent, "all" is lost.
      topic: Partition that is silent: "operator" or "status".
      nodes: Numbers of the nodes that are not answered; empty for all.
    """

    from_s: float
    to_s: float
    direction: str = "all"
    topic: str = "operator"
    nodes: tuple[int, ...] = ()

    def hits(self, event, topic, node, now):
        """Returns whether an event at a moment is lost."""
        return (
            self.direction in (event, "all")
            and self.topic == topic
            and (not self.nodes or node in self.nodes)
            and self.from_s <= now < self.to_s
        )


class ModelStore:
    """The operator's records, and parts of the store that are silent.

    Attributes:
      versions: Versions of the configuration, one a record.
      specs: Newest move specs.
      silences: Parts that are silent for a while.
      calls: Number of calls by topic.
      sent_bytes: Bytes of answers.
    """

    def __init__(self):
        self.versions = [1]
        self.specs = []
        self.silences = []
        self.calls = collections.Counter()
        self.sent_bytes = 0
        self.changed = asyncio.Event()

    def publish(self):
        """Publishes a version and returns it."""
        self.versions.append(self.versions[-1] + 1)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.versions[-1]


class StoreConnection:
    """The store as one node uses it.

    Attributes:
      store: The store.
      node: Number of the node.
    """

    def __init__(self, store, node):
        self.store = store
        self.node = node
        self.era = 0

    def note_era(self, era):
        """Learns of an era; there is only one."""

    async def _pass(self, event, topic):
        """Waits until the client gives up if an event is lost."""
        now = asyncio.get_running_loop().time()
        if any(
            silence.hits(event, topic, self.node, now)
            for silence in self.store.silences
        ):
            await asyncio.sleep(CLIENT_TIMEOUT_S)
            raise StoreUnknownOutcomeError("no answer")

    async def _begin(self, topic, wait_s=0.0):
        self.store.calls[topic] += 1
        try:
            await self._pass("requests", topic)
        except StoreUnknownOutcomeError:
            await asyncio.sleep(wait_s)
            raise
        await asyncio.sleep(LATENCY_S)

    async def _end(self, topic, size, on_progress):
        await self._pass("answers", topic)
        on_progress()
        await self._pass("rests", topic)
        self.store.sent_bytes += size

    async def poll_operator(self, offset, wait_s, on_progress):
        """Returns what was published from an offset on."""
        await self._begin("operator", wait_s)
        store = self.store
        if offset >= len(store.versions) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await store.changed.wait()
            except TimeoutError:
                # The poll ends without a change.
                pass
        found = store.versions[offset:]
        await self._end("operator", 16 + 100 * len(found), on_progress)
        return self._update(found, [])

    async def read_operator_state(self, on_progress):
        """Returns the newest version."""
        await self._begin("operator")
        found, specs = self.store.versions[-1:], list(self.store.specs)
        await self._end("operator", 116, on_progress)
        return self._update(found, specs)

    def _update(self, versions, specs):
        snapshot = make_snapshot(b"%d" % versions[-1]) if versions else None
        end = len(self.store.versions)
        return OperatorUpdate(end, snapshot, specs, end_offset=end)

    async def read_move_states(self):
        """Returns the recorded states of moves."""
        await self._begin("status")
        await self._end("status", 16, lambda: None)
        return MoveStates({}, 0, 0)


def make_snapshot(raw):
    """Returns a configuration."""
    return SimpleNamespace(version=int(raw), raw=raw, routes=())


class ModelMesh:
    """Connections of one node to the others of its failure domain."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.membership = Membership(make_record(number))
        for other in range(fleet.size):
            if other != number:
                self.membership.apply_record(make_record(other), True, 0.0)
        self.wants_nodes = False
        self.config_version = -1
        self.operator_offset = 0
        self.operator_era = 0
        self.is_hub = number < HUBS

    def broadcast(self, message):
        """Sends nothing: there are no evacuations."""

    def send(self, address, message):
        """Asks another node for its state."""
        del message
        target = self.fleet.find(address)
        if not self.membership.peers[address].reachable:
            return False
        asyncio.get_running_loop().call_later(
            2 * LATENCY_S, self._deliver, target
        )
        return True

    def _deliver(self, target):
        state = target.state.to_message()
        node = self.fleet.nodes[self.number]
        if state is not None and target.task and node.task:
            node.sync.handle_operator_state(state)


def make_address(number):
    """Returns the address of a node; the order is that of the numbers."""
    return f"10.{number // 100 + 100}.{number % 100 + 100}.1:1"


def make_record(number):
    """Returns the record of a node."""
    return NodeRecord(make_address(number), "a", 1, 0, False, None)


class ModelNode:
    """One node.

    Attributes:
      task: Task of the node; None once it has ended.
      applied_at: When each version was applied, in loop time.
    """

    def __init__(self, fleet, number):
        self.loop = asyncio.get_running_loop()
        self.applied_at = {}
        self.mesh = ModelMesh(fleet, number)
        log = EventLogger("m", fleet.log_fd)
        self.moves = MoveTable(lambda _: None)
        self.state = AppliedOperatorState(
            self.mesh, self.moves, self._apply, make_snapshot, log, Metrics()
        )
        self.sync = OperatorStateSync(
            StoreConnection(fleet.store, number),
            self.mesh,
            self.state,
            log,
            Metrics(),
            ReaderTiming.from_apply_s(APPLY_S),
        )
        self.task = self.loop.create_task(self.sync.run())

    def _apply(self, snapshot):
        self.applied_at[snapshot.version] = self.loop.time()

    def when_applied(self, version):
        """Returns when a version or a newer one was applied; inf if never."""
        return min(
            (at for known, at in self.applied_at.items() if known >= version),
            default=float("inf"),
        )


class ReaderFleet:
    """Nodes of one failure domain that tell each other what they have.

    Attributes:
      size: Number of nodes.
      store: The store.
      nodes: The nodes, in the order of their addresses.
    """

    def __init__(self, size):
        self.size = size
        self.loop = asyncio.get_running_loop()
        self.log_fd = os.open(os.devnull, os.O_WRONLY)
        self.store = ModelStore()
        self.nodes = []
        self.numbers = {make_address(number): number for number in range(size)}
        self.tasks = []

    async def __aenter__(self):
        self.nodes = [ModelNode(self, number) for number in range(self.size)]
        self.tasks = [
            self.loop.create_task(self._report(node)) for node in self.nodes
        ]
        return self

    async def __aexit__(self, *args):
        tasks = [*self.tasks, *(node.task for node in self.nodes if node.task)]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        os.close(self.log_fd)

    def find(self, address):
        """Returns a node by its address."""
        return self.nodes[self.numbers[address]]

    def end(self, number):
        """Ends a node's process; the others notice it after a while."""
        node = self.nodes[number]
        node.task.cancel()
        node.task = None
        self.loop.call_later(DETECTION_S, self._mark_failed, number)

    def _mark_failed(self, number):
        for other in self.nodes:
            peer = other.mesh.membership.peers[make_address(number)]
            peer.failed = peer is not other.mesh.membership.own

    async def _report(self, node):
        """Tells the others of a node, as heartbeats and reports do."""
        await asyncio.sleep(random.uniform(0.0, HEARTBEAT_S))
        while node.task is not None:
            age_s = node.mesh.get_store_age_s()
            if node.mesh.is_hub or age_s is not None:
                self.loop.call_later(
                    random.uniform(0.0, HEARTBEAT_S),
                    self._deliver,
                    node,
                    age_s,
                    node.mesh.config_version,
                    node.mesh.operator_offset,
                )
            await asyncio.sleep(HEARTBEAT_S)

    def _deliver(self, node, age_s, version, offset):
        now = self.loop.time()
        address = make_address(node.mesh.number)
        for other in self.nodes:
            if other is node or other.task is None:
                continue
            peer = other.mesh.membership.peers[address]
            peer.store_contact_at = None if age_s is None else now - age_s
            other.sync.handle_versions(peer, version, offset, 0)

    def order(self):
        """Orders a move, whose state is recorded in another topic."""
        self.store.specs = [MoveSpec("browse", "v2", 9.0, 0, 0)]
