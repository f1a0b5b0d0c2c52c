"""Tests of the failure domains that the operator has evacuated."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
from vanillamast_sidecar.operator_state.evacuation import Evacuation
from vanillamast_sidecar.operator_state.evacuations import Evacuations

DOMAINS = ("a", "b", "c")
NODES = 3


class TestEvacuations:
    """The newest word of the operator counts, whatever arrives when."""

    def test_an_older_record_does_not_bring_an_evacuation_back(self):
        """Guards against a peer's old state that outlives a withdrawal."""
        evacuations = Evacuations()
        evacuations.apply([Evacuation("a", True, 3)])
        assert evacuations.apply([Evacuation("a", False, 7)])
        assert evacuations.apply([Evacuation("a", True, 3)]) == []
        assert not evacuations.is_evacuated("a")

    def test_a_missing_key_is_not_evacuated(self):
        """Guards against an evacuation whose withdrawal was deleted."""
        evacuations = Evacuations()
        evacuations.apply([Evacuation("a", True, 3)])
        evacuations.apply([Evacuation("b", True, 9)])
        evacuations.apply_complete([], 0, 8)
        assert not evacuations.is_evacuated("a")
        assert evacuations.is_evacuated("b")

    def test_a_record_from_before_a_complete_read_is_outdated(self):
        """Guards against a peer that is behind and revives an evacuation."""
        evacuations = Evacuations()
        evacuations.apply_complete([], 0, 8)
        evacuations.apply([Evacuation("a", True, 3)])
        assert not evacuations.is_evacuated("a")

    def test_the_era_goes_before_the_offset(self):
        """Guards against offsets of different eras that are compared."""
        evacuations = Evacuations()
        evacuations.apply([Evacuation("a", False, 9, era=0)])
        evacuations.apply([Evacuation("a", True, 2, era=1)])
        assert evacuations.is_evacuated("a")


class EvacuationMachine(stateful.RuleBasedStateMachine):
    """Compares three nodes with the operator's stream."""

    def __init__(self):
        super().__init__()
        self.stream: list[Evacuation] = []
        self.nodes = [Evacuations() for _ in range(NODES)]
        # Offset up to which each node has read the stream.
        self.read_to = [0] * NODES
        # Messages in flight, with the sender's offset; they may be repeated.
        self.messages: list[tuple[list[Evacuation], int]] = []

    @stateful.rule(domain=st.sampled_from(DOMAINS), active=st.booleans())
    def write(self, domain: str, active: bool):
        """The operator evacuates a failure domain or withdraws that."""
        self.stream.append(Evacuation(domain, active, len(self.stream)))

    @stateful.rule(node=st.integers(0, NODES - 1))
    def poll(self, node: int):
        """A node reads the rest of the stream."""
        records = reversed(self.stream[self.read_to[node] :])
        self.nodes[node].apply_read(records, 0, len(self.stream))
        self.read_to[node] = len(self.stream)

    @stateful.rule(node=st.integers(0, NODES - 1), data=st.data())
    def read_complete(self, node: int, data: st.DataObject):
        """A node reads the newest records as they were at some time."""
        end = data.draw(st.integers(0, len(self.stream)))
        newest = {r.failure_domain: r for r in self.stream[:end]}
        listed = [record for record in newest.values() if record.active]
        self.nodes[node].apply_complete(listed, 0, end)
        self.read_to[node] = max(self.read_to[node], end)

    @stateful.rule(node=st.integers(0, NODES - 1))
    def send(self, node: int):
        """A node sends its state, which arrives at any later time."""
        self.messages.append((self.nodes[node].to_list(), self.read_to[node]))

    @stateful.precondition(lambda self: self.messages)
    @stateful.rule(
        node=st.integers(0, NODES - 1), complete=st.booleans(), data=st.data()
    )
    def receive(self, node: int, complete: bool, data: st.DataObject):
        """A node receives any message that was sent, or its records alone."""
        records, offset = data.draw(st.sampled_from(self.messages))
        if not complete:
            self.nodes[node].apply(records)
            return
        self.nodes[node].apply_complete(records, 0, offset)
        self.read_to[node] = max(self.read_to[node], offset)

    @stateful.invariant()
    def no_node_is_older_than_what_it_has_read(self):
        """Each node has the state at an offset not below its own."""
        for evacuations, read_to in zip(self.nodes, self.read_to, strict=True):
            for domain in DOMAINS:
                words = [False] + [
                    record.active
                    for record in self.stream[:read_to]
                    if record.failure_domain == domain
                ]
                allowed = {words[-1]} | {
                    record.active
                    for record in self.stream[read_to:]
                    if record.failure_domain == domain
                }
                assert evacuations.is_evacuated(domain) in allowed


class TestFuzz:
    """Any order of writes, reads and messages."""

    def test_evacuations_fuzz(self):
        """Guards against a node that goes back to an older word."""
        stateful.run_state_machine_as_test(
            EvacuationMachine, settings=hypothesis.settings(max_examples=100)
        )
