"""Stateful fuzz tests of a network of control planes under any failures."""

import os

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from vanillamast_core.configuration import (
    MoveSpec,
    Remove,
    Route,
    Service,
    SetRoute,
    SetService,
)
from vanillamast_core.control import MessageReceived
from vanillamast_core.journal import DrainInstance, SnapshotSettings
from vanillamast_core.moves import MoveState
from vanillamast_core.peers import Alarms
from vanillamast_testing.core_adapter import WALL_START_S
from vanillamast_testing.core_network import CoreNetwork

ACTIVATION_TIMEOUT_S = 12.0
LEAVE_TIMEOUT_S = 3.0
SNAPSHOT_ENTRIES = 15
RETAINED_ENTRIES = 60
DOMAINS = ("a", "b", "c")
OLD_INSTANCES = [f"{d}{n}" for d in DOMAINS for n in range(3)]
NEW_INSTANCES = [f"new-{d}" for d in DOMAINS]
SERVICES = ("browse", "publish", "reader")

old_instances = st.sampled_from(OLD_INSTANCES)
all_instances = st.sampled_from(OLD_INSTANCES + NEW_INSTANCES)
service_names = st.sampled_from(SERVICES)


def make_network(seed: int, network_type: type = CoreNetwork) -> CoreNetwork:
    """Starts nine old instances and three of a new version of browse."""
    network = network_type(seed)
    network.snapshots = SnapshotSettings(
        entries=SNAPSHOT_ENTRIES, chunk_bytes=2048, retry_s=10.0
    )
    for domain in DOMAINS:
        region = "south" if domain == "c" else "north"
        for index, service in enumerate(SERVICES):
            network.add_instance(
                f"{domain}{index}", region, domain, service, edge=index == 0
            )
        network.add_instance(f"new-{domain}", region, domain, "browse", "2")
    network.seeds = ["a0:1", "b0:1", "c0:1"]
    for name in network.nodes:
        network.start(name)
    network.run(8)
    network.publish(
        "a0",
        (
            SetService("browse", Service(version="1")),
            SetRoute("chapter", Route(path="/chapters", service="browse")),
        ),
        network.adapter("a0").core.journal.offset,
    )
    network.run(4)
    network.rate = 10.0
    return network


class ControlMachine(RuleBasedStateMachine):
    """Operators, moves and failures in any order."""

    network_type: type = CoreNetwork

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        """Starts a mesh with one active configuration and a running move."""
        self.network = make_network(seed, self.network_type)
        self.offsets: dict[tuple[str, int], int] = {}
        self.moves = 0
        self.stopped: set[str] = set()
        # Most examples should include a running move and a log that is longer
        # than its retention.
        self.start_move("a0", 0.0, 60.0)
        self.network.run(40.0)

    def running(self) -> list[str]:
        """Returns the nodes that run and are not paused."""
        network = self.network
        return [
            n for n in network.running_nodes() if not network.nodes[n].paused
        ]

    # Operators.

    @rule(name=old_instances, service=service_names, path=st.integers(1, 4))
    def publish_route(self, name: str, service: str, path: int) -> None:
        """Publishes a route, possibly based on an outdated state."""
        if name not in self.running():
            return
        changes = (
            SetService(service, Service(version="1")),
            SetRoute(f"r{path}", Route(path=f"/p{path}", service=service)),
        )
        offset = self.network.adapter(name).core.journal.offset
        self.network.publish(name, changes, offset)

    @rule(name=old_instances, path=st.integers(1, 4))
    def remove_route(self, name: str, path: int) -> None:
        """Removes a route, which may not exist."""
        if name in self.running():
            offset = self.network.adapter(name).core.journal.offset
            changes = (Remove("routes", f"r{path}"),)
            self.network.publish(name, changes, offset)

    @rule(name=old_instances)
    def publish_invalid(self, name: str) -> None:
        """Publishes a configuration of which one part is invalid."""
        if name in self.running():
            changes = (
                SetRoute("good", Route(path="/good", service="browse")),
                SetRoute("bad", Route(path="/bad", service="missing")),
            )
            offset = self.network.adapter(name).core.journal.offset
            self.network.publish(name, changes, offset)

    @precondition(lambda self: self.moves < 4)
    @rule(
        name=old_instances,
        failure_ratio=st.sampled_from([0.0, 0.5]),
        seconds=st.sampled_from([20.0, 60.0]),
    )
    def start_move(
        self, name: str, failure_ratio: float, seconds: float
    ) -> None:
        """Starts a move to a working or failing version."""
        if name not in self.running():
            return
        self.moves += 1
        for instance in NEW_INSTANCES:
            server = self.network.servers[instance]
            server.bad_after = 0.0 if failure_ratio else None
            server.bad_failure_ratio = failure_ratio
        wall = WALL_START_S + self.network.now
        spec = MoveSpec(
            service="browse",
            old="1",
            new="2",
            deadline=wall + seconds,
            min_dwell_s=2.0,
            watch_s=600.0,
        )
        self.network.start_move(name, f"move-{self.moves}", spec)

    @rule(name=old_instances, instance=old_instances, drained=st.booleans())
    def drain(self, name: str, instance: str, drained: bool) -> None:
        """Drains an instance or ends its draining."""
        if name in self.running():
            core = self.network.adapter(name).core
            record = DrainInstance(
                id=f"drain-{self.network.now}-{name}",
                based_on=core.journal.offset,
                instance=instance,
                drained=drained,
            )
            self.network.submit(name, record)

    # Failures.

    @rule(seconds=st.sampled_from([0.05, 0.5, 2.0, 5.0, 15.0]))
    def wait(self, seconds: float) -> None:
        """Lets time pass."""
        self.network.run(seconds)

    @rule(name=all_instances, machine=st.booleans())
    def kill(self, name: str, machine: bool) -> None:
        """Kills a node, or its machine with the backend server."""
        if len(self.network.running_nodes()) <= 3:
            return
        if machine:
            self.network.kill_instance(name)
        else:
            self.network.kill(name)
        self.stopped.discard(name)

    @rule(domain=st.sampled_from(DOMAINS))
    def restart_domain(self, domain: str) -> None:
        """Restarts all nodes of a failure domain at the same time."""
        for name, node in self.network.nodes.items():
            if node.announcement.failure_domain == domain:
                self.network.kill(name)
                self.network.start_instance(name)
                self.stopped.discard(name)

    @rule()
    def restart_all(self) -> None:
        """Replaces every instance while the log retains only its tail."""
        self.network.drop_log(RETAINED_ENTRIES)
        for name in self.network.nodes:
            self.network.kill(name)
        for name in self.network.nodes:
            self.network.start_instance(name)
        self.stopped.clear()

    @rule(name=old_instances)
    def receive_alarm(self, name: str) -> None:
        """Delivers a peer's alarm that a move was rolled back."""
        if name not in self.running():
            return
        links = sorted(self.network.nodes[name].links)
        active = self.network.adapter(name).core.active_moves()
        if links and active:
            alarms = Alarms({active[0].started_at: "test"})
            event = MessageReceived(links[0], alarms)
            self.network.call(
                name,
                lambda core, now: core.handle(event, now),  # type: ignore[attr-defined]
            )

    @rule(name=all_instances)
    def restart(self, name: str) -> None:
        """Starts a node that is down."""
        if self.network.nodes[name].mesh is None:
            self.network.start_instance(name)

    @rule(name=all_instances)
    def pause(self, name: str) -> None:
        """Pauses a node's process; its leases may expire."""
        if self.network.nodes[name].mesh is not None:
            self.network.pause(name)

    @rule(name=all_instances)
    def pause_server(self, name: str) -> None:
        """Pauses a backend server's process; its lease expires."""
        self.network.servers[name].paused = True

    @rule(name=all_instances)
    def resume(self, name: str) -> None:
        """Resumes both processes."""
        self.network.servers[name].paused = False
        self.network.resume(name)

    @rule(domain=st.sampled_from(DOMAINS), reset=st.booleans())
    def partition_domain(self, domain: str, reset: bool) -> None:
        """Partitions a failure domain from the others and the platform."""
        self.network.heal()
        members = {
            name: 1
            for name, node in self.network.nodes.items()
            if node.announcement.failure_domain == domain
        }
        self.network.cut(members, reset)
        for name, node in self.network.nodes.items():
            node.log_cut = name in members

    @rule()
    def heal(self) -> None:
        """Ends all partitions."""
        self.network.heal()
        for node in self.network.nodes.values():
            node.log_cut = False
        self.network.set_log(self.network.log_up)

    @rule(up=st.booleans(), lose=st.sampled_from([0.0, 0.5]))
    def switch_log(self, up: bool, lose: float) -> None:
        """Starts or ends a log outage; answers to appends may be lost."""
        self.network.lose_answers = lose
        self.network.set_log(up)

    @rule()
    def drop_log(self) -> None:
        """Lets the log's retention drop old entries."""
        self.network.drop_log(RETAINED_ENTRIES)

    # Checks after failures have ended.

    @rule()
    def check_recovery(self) -> None:
        """Ends all failures and checks the state some time later."""
        network = self.network
        self.heal()
        network.lose_answers = 0.0
        network.set_log(True)
        for name in network.nodes:
            network.servers[name].paused = False
            network.resume(name)
            if network.nodes[name].mesh is None:
                network.start_instance(name)
        version = network.reference.state.version
        network.run(ACTIVATION_TIMEOUT_S)
        for name, adapter in network.adapters().items():
            assert adapter.version >= version, (name, adapter.version, version)
        self.check_agreement()
        self.check_moves()

    def check_agreement(self) -> None:
        """Checks that equal offsets mean equal states, and complete routes."""
        network = self.network
        for name, adapter in network.adapters().items():
            journal = adapter.core.journal
            if journal.offset == network.reference.offset:
                assert journal.digest() == network.reference.digest(), name
            if adapter.version == network.reference.state.version:
                wanted = adapter.core.data_plane.table.select_routes(
                    network.reference.state.configuration
                )
                assert adapter.routes == wanted, name

    def check_moves(self) -> None:
        """Checks that a version that was rolled back gets no traffic."""
        ended = {
            move.started_at: move
            for move in self.network.reference.state.moves.values()
            if move.state in (MoveState.TAKEN_BACK, MoveState.STOPPED)
        }
        for name, adapter in self.network.adapters().items():
            for move in adapter.core.journal.state.moves.values():
                if move.started_at in ended:
                    assert move.share == 0.0, (name, move)
            split = adapter.splits.get("browse")
            if ended and split is not None and split.share > 0:
                active = {m.started_at for m in adapter.core.active_moves()}
                assert active - ended.keys(), (name, split)

    @rule()
    def leave(self) -> None:
        """Stops a node as planned; its server must get no more requests."""
        network = self.network
        running = sorted(set(self.running()) - self.stopped)
        if network.groups or len(running) < 8:
            return
        name = running[0]
        self.stopped.add(name)
        network.stop(name)
        network.run(LEAVE_TIMEOUT_S)
        for other in self.running():
            if network.nodes[other].deferred:
                continue
            for servers in network.adapter(other).servers.values():
                assert name not in {a.instance for a in servers}, other

    @invariant()
    def invariants_hold(self) -> None:
        """Checks the routes, versions and shares of every node."""
        assert not self.network.violations()

    @invariant()
    def offsets_never_go_back(self) -> None:
        """Checks that no process returns to an earlier log offset."""
        for name in self.network.running_nodes():
            key = name, self.network.nodes[name].generation
            offset = self.network.adapter(name).core.journal.offset
            assert offset >= self.offsets.get(key, 0), name
            self.offsets[key] = offset


LONG_RUN = bool(os.environ.get("VANILLAMAST_FUZZ"))


class TestFuzzControl(ControlMachine.TestCase):
    """Guards against rollback, dangling routes, divergence and exposure."""

    settings = settings(
        max_examples=400 if LONG_RUN else 25,
        stateful_step_count=40 if LONG_RUN else 25,
    )
