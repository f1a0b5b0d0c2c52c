"""Tests of the sums of a failure domain."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from vanillamast_sidecar.usage.domain_counter import DomainCounter
from vanillamast_sidecar.usage.usage_counts import UsageCounts

NODES = st.integers(0, 3)


class TestDomainCounter:
    """Sums follow the nodes, whatever happens to heartbeats."""

    def test_counts_of_an_unknown_node_are_the_start(self):
        """Guards against a new hub that takes old requests for new ones."""
        counter = DomainCounter()
        counter.handle_counts("n", 1, UsageCounts(True, [(1, 90, 9)]), True, 0)
        counter.handle_counts(
            "n", 1, UsageCounts(False, [(1, 95, 9)]), False, 1
        )
        counter.handle_counts("n", 1, UsageCounts(False, [(2, 3, 3)]), False, 2)
        assert counter.sums == {1: (5, 0), 2: (3, 3)}

    def test_a_silent_node_is_assumed_to_go_on(self):
        """Guards against a cap that others use as well as a cut-off node."""
        counter = DomainCounter()
        counter.handle_counts("n", 1, None, True, 0.0)
        for step in range(1, 101):
            counts = UsageCounts(False, [(1, step, step)])
            counter.handle_counts("n", 1, counts, False, step * 0.2)
        counter.estimate_silent({"n"}, 30.0)
        assert 130 < counter.sums[1][1] < 160
        counts = UsageCounts(True, [(1, 104, 104)])
        counter.handle_counts("n", 1, counts, True, 31.0)
        assert round(counter.sums[1][1]) == 104


class CounterMachine(RuleBasedStateMachine):
    """Nodes that ask, restart, lose connections and repeat heartbeats.

    The oracle is the number of requests of each node.
    """

    def __init__(self):
        super().__init__()
        self.counter = DomainCounter()
        self.now = 0.0
        self.incarnations = [1] * 4
        self.counts = [[0, 0] for _ in range(4)]
        self.before_restart = [0, 0]
        for node in range(4):
            self.counter.handle_counts(str(node), 1, None, True, 0.0)

    def send(self, node, complete):
        """Delivers a heartbeat."""
        self.now += 0.1
        entry = (1, *self.counts[node])
        self.counter.handle_counts(
            str(node),
            self.incarnations[node],
            UsageCounts(complete, [entry]),
            complete,
            self.now,
        )

    @rule(node=NODES, asked=st.integers(0, 9), repeats=st.integers(1, 2))
    def ask(self, node, asked, repeats):
        """Sends requests, of which the node admits some."""
        self.counts[node][0] += asked
        self.counts[node][1] += asked // 2
        for _ in range(repeats):
            self.send(node, False)

    @rule(node=NODES)
    def give_back(self, node):
        """Takes back an admission."""
        self.counts[node][1] -= 1
        self.send(node, False)

    @rule(node=NODES, silent_s=st.floats(0.0, 50.0))
    def lose_connection(self, node, silent_s):
        """Has the hub miss heartbeats until the next connection."""
        self.now += silent_s
        self.counter.estimate_silent({str(node)}, self.now)
        self.counts[node][0] += 3
        self.send(node, True)

    @rule(node=NODES)
    def restart(self, node):
        """Restarts the node, which begins at zero."""
        for position in (0, 1):
            self.before_restart[position] += self.counts[node][position]
        self.counts[node] = [0, 0]
        self.incarnations[node] += 1
        self.send(node, True)

    @invariant()
    def sums_are_true(self):
        """Compares the sums with the oracle."""
        for position in (0, 1):
            truth = self.before_restart[position] + sum(
                counts[position] for counts in self.counts
            )
            found = self.counter.sums.get(1, (0, 0))[position]
            assert abs(found - truth) < 1e-6


TestFuzzDomainCounter = CounterMachine.TestCase
