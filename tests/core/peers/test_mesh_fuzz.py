"""Stateful fuzzing of a small fleet under arbitrary failures."""

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
from vanillamast_testing.peer_fleet import (
    assert_membership,
    chain_at,
    make_fleet,
    offsets,
    peers_marked_dead,
)

ENTRY_CONVERGENCE_S = 12.0
LEAVING_CONVERGENCE_S = 3.0
HANDSHAKE_S = 0.5  # Dial and Hello take four one-way delays of 20 ms.
MEMBERSHIP_CONVERGENCE_S = 40.0  # Detection with doubled timeouts, then repair.
NAMES = [f"n{domain}{index}" for domain in range(3) for index in range(3)]

names = st.sampled_from(NAMES)


class FleetMachine(RuleBasedStateMachine):
    """Failures of nodes, links and the log, in any order."""

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed: int) -> None:
        """Starts a fleet and waits until its links are up."""
        self.network = make_fleet(seed)
        self.seen: dict[tuple[str, int], int] = {}
        self.alarms: set[int] = set()
        self.left: set[str] = set()

    @rule(count=st.integers(1, 12))
    def append(self, count: int) -> None:
        """Appends fewer or more records than a node retains as a tail."""
        for _ in range(count):
            self.network.append(b"%d" % len(self.network.log))

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.5, 4.0, 8.0, 20.0]))
    def wait(self, seconds: float) -> None:
        """Advances the clock."""
        self.network.run(seconds)

    @rule(members=st.sets(names, max_size=5), reset=st.booleans())
    def cut(self, members: set[str], reset: bool) -> None:
        """Cuts off some nodes; links are reset or become unresponsive."""
        self.network.heal()
        self.network.cut(dict.fromkeys(members, 1), reset)

    @rule(domain=st.integers(0, 2), reset=st.booleans())
    def cut_domain(self, domain: int, reset: bool) -> None:
        """Cuts off a whole failure domain."""
        self.network.heal()
        members = [name for name in NAMES if name[1] == str(domain)]
        self.network.cut(dict.fromkeys(members, 1), reset)

    @rule()
    def heal(self) -> None:
        """Ends all cuts."""
        self.network.heal()

    @rule(name=names)
    def pause(self, name: str) -> None:
        """Suspends a process until it is resumed."""
        if self.network.nodes[name].mesh is not None:
            self.network.pause(name)

    @rule(name=names)
    def resume(self, name: str) -> None:
        """Resumes a process."""
        self.network.resume(name)

    @rule(name=names, machine=st.booleans())
    def kill(self, name: str, machine: bool) -> None:
        """Kills a process or its whole machine."""
        if len(self.network.running_nodes()) > 2:
            self.network.kill(name, machine)
            self.left.discard(name)

    @rule(name=names)
    def restart(self, name: str) -> None:
        """Starts a process with an empty state."""
        if self.network.nodes[name].mesh is None:
            self.network.start(name)

    @rule(name=names, count=st.integers(1, 8))
    def break_links(self, name: str, count: int) -> None:
        """Resets some links of a node."""
        self.network.break_links(name, count)

    @rule(up=st.booleans())
    def switch_log(self, up: bool) -> None:
        """Starts or ends an outage of the platform's log."""
        self.network.set_log(up)

    @rule(name=names, started_at=st.integers(1, 5))
    def raise_alarm(self, name: str, started_at: int) -> None:
        """Marks a move as rolled back at one node."""
        node = self.network.nodes[name]
        if node.mesh is not None and not node.paused:
            self.network.call(
                name, lambda mesh, now: mesh.raise_alarm(started_at, "", now)
            )

    @precondition(lambda self: len(self.left) < 2)
    @rule(name=names)
    def leave(self, name: str) -> None:
        """Starts a planned stop, possibly during failures."""
        node = self.network.nodes[name]
        if node.mesh is not None and not node.paused:
            self.left.add(name)
            self.network.call(name, lambda mesh, now: mesh.leave(now))

    @rule()
    def settle(self) -> None:
        """Ends all failures and checks that the fleet recovers in time."""
        network = self.network
        network.heal()
        for name in NAMES:
            network.resume(name)
        highest = max(offsets(network).values())
        live_alarms = self.alarms_at_live_nodes()
        network.run(LEAVING_CONVERGENCE_S)
        network.run(ENTRY_CONVERGENCE_S - LEAVING_CONVERGENCE_S)
        for name, offset in offsets(network).items():
            assert offset >= highest, (name, offset, highest)
            assert live_alarms <= set(network.mesh(name).alarms.moves), name
        network.run(MEMBERSHIP_CONVERGENCE_S)
        assert_membership(network)
        self.check_links()
        self.check_leaving()
        self.check_readers()

    def check_links(self) -> None:
        """Checks that two nodes keep at most one link.

        A second link is allowed while both ends may still be in a handshake.
        """
        for name in self.network.running_nodes():
            peers = [
                link.instance
                for link in self.network.mesh(name).links.by_id.values()
                if self.network.now - link.opened_at > HANDSHAKE_S
            ]
            assert len(peers) == len(set(peers)), name

    def alarms_at_live_nodes(self) -> set[int]:
        """Returns the alarms that at least one running node has."""
        moves: set[int] = set()
        for name in self.network.running_nodes():
            moves |= set(self.network.mesh(name).alarms.moves)
        return moves

    def check_leaving(self) -> None:
        """Checks that a leaving node is soon usable at no node."""
        network = self.network
        staying = sorted(set(network.running_nodes()) - self.left)
        if len(staying) > 3:
            name = staying[0]
            self.left.add(name)
            network.call(name, lambda mesh, now: mesh.leave(now))
            network.run(LEAVING_CONVERGENCE_S)
        for name in network.running_nodes():
            usable = network.mesh(name).directory.get_usable("browse")
            assert not {a.instance for a in usable} & self.left, name

    def check_readers(self) -> None:
        """Checks that each failure domain has exactly its log readers."""
        network = self.network
        staying = set(network.running_nodes()) - self.left
        for domain in "012":
            members = {name for name in staying if name[1] == domain}
            reading = {n for n in members if network.nodes[n].reads_log}
            assert len(reading) == min(2, len(members)), domain
        if network.log_up and staying:
            network.append(b"after")
            network.run(ENTRY_CONVERGENCE_S)
            assert set(offsets(network).values()) == {len(network.log)}

    @invariant()
    def offsets_never_go_back(self) -> None:
        """Checks that offsets only grow and each state matches the log."""
        for name in self.network.running_nodes():
            node = self.network.nodes[name]
            key = name, node.generation
            assert node.store.offset >= self.seen.get(key, 0), name
            self.seen[key] = node.store.offset
            expected = chain_at(self.network, node.store.offset)
            assert node.store.chain == expected, name


class PausedNodeMachine(RuleBasedStateMachine):
    """One node is paused or overloaded; no other node fails."""

    @initialize(seed=st.integers(0, 2**32), name=names)
    def start(self, seed: int, name: str) -> None:
        """Starts a fleet and chooses the node."""
        self.network = make_fleet(seed)
        self.name = name

    @rule(seconds=st.sampled_from([0.5, 1.4, 3.0, 7.0, 11.0, 30.0]))
    def pause(self, seconds: float) -> None:
        """Pauses the node."""
        self.network.pause(self.name)
        self.network.run(seconds)
        self.network.resume(self.name)

    @rule(seconds=st.sampled_from([0.1, 1.0, 5.0, 12.0]))
    def wait(self, seconds: float) -> None:
        """Runs the node in short steps, so that no wrong death is missed."""
        for _ in range(10):
            self.network.run(seconds / 10)
            self.nobody_is_declared_dead()

    @invariant()
    def nobody_is_declared_dead(self) -> None:
        """Checks that only the paused node may be considered dead."""
        for name in self.network.running_nodes():
            assert peers_marked_dead(self.network, name) <= {self.name}
        assert not peers_marked_dead(self.network, self.name)


LONG = bool(os.environ.get("VANILLAMAST_FUZZ"))
EXAMPLES = 400 if LONG else 60
STEPS = 40 if LONG else 20


class TestFuzzFleet(FleetMachine.TestCase):
    """Guards against lost entries, older states, wrong deaths, lost alarms."""

    settings = settings(max_examples=EXAMPLES, stateful_step_count=STEPS)


class TestFuzzPausedNode(PausedNodeMachine.TestCase):
    """Guards against a slow node that marks its healthy peers as dead."""

    settings = settings(max_examples=EXAMPLES, stateful_step_count=10)
