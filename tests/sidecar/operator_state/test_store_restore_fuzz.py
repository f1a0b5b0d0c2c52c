"""Fuzzes nodes whose store returns from older copies, against an oracle."""

import asyncio
import copy
import os
from types import SimpleNamespace

import hypothesis
import msgspec
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)
from vanillamast_sidecar.errors import StoreConflictError
from vanillamast_sidecar.mesh.messages import OperatorState
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.applied_operator_state import (
    AppliedOperatorState,
)
from vanillamast_sidecar.operator_state.operator_state_sync import (
    OperatorStateSync,
)
from vanillamast_sidecar.operator_state.reader_timing import ReaderTiming
from vanillamast_sidecar.operator_state.store import (
    MoveStates,
    OperatorUpdate,
    ignore_progress,
)
from vanillamast_sidecar.rollouts import move_controller
from vanillamast_sidecar.rollouts.move_controller import MoveController
from vanillamast_sidecar.rollouts.move_spec import MoveSpec
from vanillamast_sidecar.rollouts.move_state import MoveState
from vanillamast_sidecar.rollouts.move_table import MAX_REPLACED, MoveTable

SERVICE = "browse"
NODES = 3
ENDS = (MoveState.COMPLETE, MoveState.REVERTED)
node_numbers = strategies.integers(0, NODES - 1)


class ModelStore:
    """A store that one node after the other uses.

    Attributes:
      era: Number of returns.
      records: The operator's records: key and content.
      states: Recorded states of moves.
      end_offset: End of the stream of these.
      writer: Node that uses the store.
    """

    def __init__(self):
        self.era = 0
        self.records = []
        self.states = {}
        self.end_offset = 0
        self.writer = None

    def save(self):
        """Returns a copy to return to."""
        return copy.deepcopy((self.records, self.states, self.end_offset))

    def restore(self, saved):
        """Returns to a copy; returns the newest records that it lacks."""
        lost = dict(self.records)
        self.records, self.states, self.end_offset = copy.deepcopy(saved)
        self.era += 1
        kept = dict(self.records)
        return {k: v for k, v in lost.items() if kept.get(k) != v}

    async def poll_operator(self, offset, wait_s, on_progress):
        """Returns one record, however many follow it."""
        del wait_s, on_progress
        found = list(enumerate(self.records))[offset : offset + 1]
        return self.update(found, offset + len(found))

    async def read_operator_state(self, on_progress):
        """Returns the newest record of each key."""
        del on_progress
        newest = {
            key: (offset, (key, content))
            for offset, (key, content) in enumerate(self.records)
        }
        return self.update(sorted(newest.values()), len(self.records))

    def update(self, records, next_offset):
        """Returns records as an update."""
        version = [c for _, (key, c) in records if key == "config"]
        return OperatorUpdate(
            next_offset,
            make_snapshot(str(version[-1]).encode()) if version else None,
            [
                MoveSpec(SERVICE, f"v{content}", 9.0, offset, self.era)
                for offset, (key, content) in records
                if key == "rollout"
            ],
            era=self.era,
            end_offset=len(self.records),
        )

    async def read_move_states(self):
        """Returns the recorded states."""
        return MoveStates(dict(self.states), self.end_offset, self.era)

    async def put_move_state(self, spec, state, end_offset):
        """Records a state; checks what may be recorded."""
        if end_offset != self.end_offset:
            raise StoreConflictError("conflict")
        known = self.states.get(SERVICE)
        if known is not None and known[1] == spec.to_version:
            assert known[0] not in ENDS, "an end was recorded twice"
        acknowledged = self.writer.ends.get(spec.to_version, state)
        assert state is acknowledged, "another end than the acknowledged one"
        self.states[SERVICE] = (state, spec.to_version, spec.move_id)
        self.end_offset += 1


def make_snapshot(raw):
    """Returns a configuration of a version."""
    return SimpleNamespace(version=int(raw), raw=raw, routes=())


class ModelNode:
    """One node and what it has had.

    Attributes:
      ends: Acknowledged end by the move's version.
      replaced: Versions that later orders have replaced.
      known: Version and position at the last check.
    """

    def __init__(self, store):
        log = EventLogger("m", os.open(os.devnull, os.O_WRONLY))
        self.mesh = SimpleNamespace(
            config_version=-1, membership=None, broadcast=lambda _: None
        )
        self.moves = MoveTable(lambda _: None)
        self.state = AppliedOperatorState(
            self.mesh, self.moves, lambda _: None, make_snapshot, log, Metrics()
        )
        self.store = store
        self.sync = OperatorStateSync(
            store,
            self.mesh,
            self.state,
            log,
            Metrics(),
            ReaderTiming.from_apply_s(2.0),
        )
        self.controller = MoveController(
            self.mesh, self.moves, None, store, log, Metrics()
        )
        self.ends = {}
        self.replaced = set()
        self.known = (None, (0, -1), -1)

    async def read(self):
        """Reads the store as `OperatorStateSync` does."""
        if self.state.offset > len(self.store.records):
            self.state.offset = -1
        self.state.apply_update(
            await self.sync._read_update(0.0, ignore_progress)
        )

    async def record(self, state):
        """Records a state of the newest move."""
        self.store.writer = self
        await self.controller._record_state(
            self.moves.by_service[SERVICE], state
        )

    @property
    def move(self):
        """The newest move, None without one."""
        return self.moves.by_service.get(SERVICE)

    def check(self):
        """Checks that nothing has gone back."""
        version, position, config = self.known
        now = (self.state.era, self.state.offset)
        assert now >= position or self.state.offset < 0
        assert self.mesh.config_version >= config
        move = self.move
        if move is not None:
            current = move.spec.to_version
            assert current not in self.replaced
            if version not in (None, current):
                self.replaced.add(version)
            version = current
            if current in self.ends:
                assert move.state in ENDS, "an ended move goes on"
            if move.status is not None and move.status.recorded:
                self.ends[current] = move.state
        self.known = (version, max(now, position), self.mesh.config_version)


class StoreRestore(RuleBasedStateMachine):
    """Nodes that read, tell each other and record while the store returns.

    Attributes:
      saved: Copy that the store returns to.
      lost: The operator's newest records that it has to write again.
      orders: Orders so far.
      version: Newest version of the configuration.
    """

    def __init__(self):
        super().__init__()
        self.write_retry_s = move_controller.WRITE_RETRY_S
        self.runner = asyncio.Runner()
        self.runner.run(self.start())

    async def start(self):
        """Starts the nodes on an empty store."""
        move_controller.WRITE_RETRY_S = 0.0
        self.store = ModelStore()
        self.saved = self.store.save()
        self.nodes = [ModelNode(self.store) for _ in range(NODES)]
        self.lost = {}
        self.orders = 0
        self.version = 0
        self.write("config", 0)
        for node in self.nodes:
            await node.read()

    def teardown(self):
        """Checks that the nodes agree in the end."""
        try:
            self.runner.run(self.settle())
        finally:
            move_controller.WRITE_RETRY_S = self.write_retry_s
            self.runner.close()

    def write(self, key, content):
        """Writes a record as the operator."""
        self.lost.pop(key, None)
        self.store.records.append((key, content))

    def read_all(self):
        """Lets each node read the newest order before it is replaced or lost.

        A node cannot tell an order that it has never read at its offset, and
        that a copy still has, from a new one (docs/design/store-restore.md).
        """
        for number in range(NODES):
            self.read(number)
            self.nodes[number].check()

    @rule()
    def order(self):
        """Orders a move to a further version."""
        if self.orders == MAX_REPLACED:
            return  # Nodes remember no more than that many earlier orders.
        self.read_all()
        self.orders += 1
        self.write("rollout", self.orders)

    @rule()
    def publish(self):
        """Publishes a further configuration."""
        self.version += 1
        self.write("config", self.version)

    @rule()
    def save(self):
        """Makes the copy that the store returns to."""
        self.saved = self.store.save()

    @rule()
    def restore(self):
        """Returns the store to the copy."""
        self.read_all()
        self.lost.update(self.store.restore(self.saved))

    @rule()
    def lose_order(self):
        """Returns to a copy without an order that all nodes have read."""
        self.save()
        self.order()
        self.restore()

    @rule(other_records=strategies.integers(0, 2))
    def write_again(self, other_records):
        """Writes what was lost, maybe at other offsets."""
        self.store.records += [("junk", 0)] * other_records
        for key, content in list(self.lost.items()):
            self.write(key, content)

    @rule(number=node_numbers)
    def read(self, number):
        """Reads the store."""
        self.runner.run(self.nodes[number].read())

    @rule(source=node_numbers, receiver=node_numbers)
    def tell(self, source, receiver):
        """Sends the operator's state from one node to another."""
        message = msgspec.msgpack.encode(self.nodes[source].state.to_message())
        self.nodes[receiver].state.apply_peer_state(
            msgspec.msgpack.decode(message, type=OperatorState)
        )

    @rule(source=node_numbers, receiver=node_numbers)
    def announce(self, source, receiver):
        """Sends the status of a move from one node to another."""
        for status in self.nodes[source].moves.statuses():
            self.nodes[receiver].moves.apply_status(status, 0.0)

    @rule(number=node_numbers, state=strategies.sampled_from(tuple(MoveState)))
    def record(self, number, state):
        """Records a state that a driver decides, or what must be recorded."""
        node = self.nodes[number]
        if node.move is None or node.move.spec.over_s <= 0.0:
            return
        if node.move.must_record:
            self.runner.run(node.record(node.move.state))
        elif node.move.state is MoveState.ACTIVE:
            self.runner.run(node.record(state))

    @invariant()
    def nothing_goes_back(self):
        """No node goes back."""
        for node in self.nodes:
            node.check()

    async def settle(self):
        """Lets the operator, the nodes and the drivers finish."""
        self.write_again(0)
        for _ in range(3):
            for node in self.nodes:
                await node.read()
                node.check()
                if node.move is not None and node.move.must_record:
                    await node.record(node.move.state)
                    node.check()
            for source in range(NODES):
                for target in range(NODES):
                    self.tell(source, target)
                    self.nodes[target].check()
        for node in self.nodes:
            assert node.mesh.config_version == self.version
            assert node.state.era == self.store.era
            if not self.orders:
                continue
            assert node.move.spec.to_version == f"v{self.orders}"
            assert node.move.spec.position == self.nodes[0].move.spec.position
            assert node.move.state is self.nodes[0].move.state
            if node.move.state in ENDS:
                assert self.store.states[SERVICE] == (
                    node.move.state,
                    node.move.spec.to_version,
                    node.move.spec.move_id,
                )


StoreRestore.TestCase.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=30, deadline=None
)
TestStoreRestore = StoreRestore.TestCase
