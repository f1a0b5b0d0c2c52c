"""Tests of what a node remembers of the others."""

import math

import msgspec
import pytest
from vanillamast_sidecar.membership.heartbeat import MAX_BORN_MS
from vanillamast_sidecar.membership.instance_facts import (
    MAX_FACTS,
    MAX_ID,
    InstanceFacts,
)
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.membership import MAX_NODES, Membership
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.operator_state.snapshot import WarmUp

ADDRESS = "127.0.0.2:1"


def server(born_ms=1, leaving=False):
    """Returns the record of a server."""
    return InstanceRecord(
        "i-1",
        born_ms,
        1,
        "browse",
        "v1",
        4,
        not leaving,
        leaving,
        0.0,
        "127.0.0.2:2",
    )


def node(instance, incarnation=1, revision=0):
    """Returns the record of the node beside the server."""
    return NodeRecord(ADDRESS, "a", incarnation, revision, False, instance)


@pytest.fixture
def membership():
    """Returns what a node knows that knows one other node."""
    own = NodeRecord("127.0.0.1:1", "a", 1, 0, False, None)
    membership = Membership(own)
    membership.apply_record(node(server()), True, 0.0)
    return membership


class TestColdTime:
    """Until when servers count as cold."""

    def test_a_warm_server_is_not_announced_as_cold(self, membership):
        """Guards against nodes that connect late and take it for cold."""
        cold = msgspec.structs.replace(server(), cold_s=9.0)
        own = msgspec.structs.replace(membership.own.record, instance=cold)
        membership.set_own(own)
        membership.set_own_cold_until(9.0, 5.0)
        assert membership.own.record.instance.cold_s == 9.0
        membership.set_own_cold_until(9.0, 9.1)
        assert membership.own.record.instance.cold_s == 0.0

    def test_servers_count_as_cold_after_an_evacuation(self, membership):
        """Guards against servers that are preferred as they are not loaded."""
        peer = membership.peers[ADDRESS]
        membership.presume_cold("a", {"other": WarmUp(9.0, 7.0)}, 100.0)
        assert peer.cold_until <= 100.0
        membership.presume_cold("a", {"browse": WarmUp(9.0, 7.0)}, 100.0)
        assert peer.cold_until == 109.0


class TestLeaving:
    """Leaving is final for an incarnation of a server."""

    def is_usable(self, membership):
        """Returns whether requests may go to the server."""
        return membership.peers[ADDRESS].usable

    @pytest.mark.parametrize("direct", [True, False])
    def test_a_restarted_node_cannot_bring_it_back(self, membership, direct):
        """Guards against a server that left and is in use again."""
        membership.apply_record(node(server(leaving=True), 1, 1), True, 0.0)
        membership.apply_record(node(server(), 2, 0), direct, 0.0)
        assert not self.is_usable(membership)
        assert membership.peers[ADDRESS].record.instance.leaving

    def test_a_response_counts_although_its_node_says_nothing(self, membership):
        """Guards against a node that fails before it passes the news on."""
        peer = membership.peers[ADDRESS]
        membership.mark_leaving(peer, peer.record.instance)
        assert not self.is_usable(membership)
        membership.apply_record(node(server(), 2, 0), True, 0.0)
        assert not self.is_usable(membership)

    def test_it_counts_after_the_node_was_removed(self, membership):
        """Guards against a server in use again after its node was silent."""
        peer = membership.peers[ADDRESS]
        membership.mark_leaving(peer, peer.record.instance)
        membership.remove(ADDRESS)
        membership.apply_record(node(server(), 2, 0), True, 0.0)
        assert not self.is_usable(membership)

    def test_the_next_server_of_the_node_is_used(self, membership):
        """Guards against a late response that takes its successor out."""
        old = membership.peers[ADDRESS].record.instance
        membership.apply_record(node(server(born_ms=2), 1, 1), True, 0.0)
        membership.mark_leaving(membership.peers[ADDRESS], old)
        assert self.is_usable(membership)

    def test_memory_is_bounded(self, membership):
        """Guards against a set that grows with each release for ever."""
        for born_ms in range(2, 2 * MAX_NODES):
            record = node(server(born_ms, leaving=True), 1, born_ms)
            membership.apply_record(record, True, 0.0)
        assert len(membership.facts[ADDRESS]) == MAX_FACTS

    @pytest.mark.parametrize(
        "facts",
        [
            InstanceFacts("i" * (MAX_ID + 1), 5, leaving=True),
            InstanceFacts("i-9", -1, leaving=True),
            InstanceFacts("i-9", MAX_BORN_MS + 1, leaving=True),
            InstanceFacts("i-9", 5, False, math.nan, 1),
            InstanceFacts("i-9", 5, False, -1.0, 1),
            InstanceFacts("i-9", 5, False, 1.0, -1),
        ],
    )
    def test_odd_facts_are_left_out(self, facts):
        """Guards against facts that make a node's own record too long."""
        good = InstanceFacts("i-1", 1, leaving=True)
        record = msgspec.structs.replace(node(server()), facts=(facts, good))
        assert record.get_facts() == (good,)
        # Nor do they displace others, or change those on the same server.
        same = msgspec.structs.replace(good, id=facts.id, born_ms=facts.born_ms)
        record = msgspec.structs.replace(record, facts=(good, facts, same))
        expected = {good} | ({same} if same.valid else set())
        assert set(record.get_facts()) == expected

    def test_memory_of_removed_nodes_is_bounded(self, membership):
        """Guards against nodes that are gone but remembered for ever."""
        record = node(server(leaving=True))
        for number in range(2 * MAX_NODES):
            other = msgspec.structs.replace(record, address=f"h{number}:1")
            membership.apply_record(other, True, 0.0)
            membership.remove(other.address)
        assert len(membership.facts) <= MAX_NODES

    def test_strangers_displace_no_facts_of_known_nodes(self, membership):
        """Guards against many names that make a node forget a departure."""
        membership.apply_record(node(server(leaving=True), 1, 1), True, 0.0)
        record = node(server(leaving=True))
        for number in range(2 * MAX_NODES):
            other = msgspec.structs.replace(record, address=f"h{number}:1")
            membership.apply_record(other, True, 0.0)
            membership.remove(other.address)
        assert ADDRESS in membership.facts

    def test_an_older_record_still_has_its_facts(self, membership):
        """Guards against a departure that arrives after a newer record."""
        membership.apply_record(node(server(), 2, 0), True, 0.0)
        late = node(server(leaving=True), 1, 5)
        assert membership.apply_record(late, False, 0.0) is not None
        assert not self.is_usable(membership)
        assert membership.peers[ADDRESS].record.incarnation == 2
        assert membership.apply_record(late, False, 0.0) is None

    def test_a_response_of_a_removed_node_is_no_reminder(self, membership):
        """Guards against a task that ends as it reminds an unknown node."""
        peer = membership.peers[ADDRESS]
        membership.remove(ADDRESS)
        membership.mark_leaving(peer, peer.record.instance)
        assert membership.outdated == set()
        membership.apply_record(node(server(), 2, 0), True, 0.0)
        assert not self.is_usable(membership)

    def test_a_node_that_has_forgotten_is_noted(self, membership):
        """Guards against a node that no one tells what it has said before."""
        membership.apply_record(node(server(leaving=True), 1, 1), True, 0.0)
        assert membership.outdated == set()
        membership.apply_record(node(server(), 2, 0), False, 0.0)
        assert membership.outdated == {ADDRESS}
        membership.apply_record(node(server(leaving=True), 2, 1), False, 0.0)
        assert membership.outdated == set()
