"""Tests of which nodes read the operator's stream."""

from types import SimpleNamespace

import pytest
from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.operator_state.reader_role import ReaderRole
from vanillamast_sidecar.operator_state.reader_timing import ReaderTiming
from vanillamast_sidecar.operator_state.store_reader_policy import (
    READERS_PER_DOMAIN,
    START_WAIT_S,
    TAKEOVER_S,
    StoreReaderPolicy,
)

NOW = 100.0
TIMING = ReaderTiming.from_apply_s(2.0)
STALE_S = TIMING.freshness_s + 0.1
HOSTS = ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"]


def record(host: str, domain: str = "a", stopping: bool = False) -> NodeRecord:
    """Returns the record of a node."""
    return NodeRecord(f"{host}:1", domain, 1, 0, stopping, None)


class Fleet:
    """What one node knows of the others.

    Attributes:
      membership: Nodes; all others are connected.
    """

    def __init__(self, own: str):
        self.membership = Membership(record(own))
        for host in HOSTS:
            self.membership.apply_record(record(host), True, NOW)
        for peer in self.membership.other_peers():
            peer.link = SimpleNamespace(up=True)

    def peer(self, host: str):
        """Returns another node."""
        return self.membership.peers[f"{host}:1"]

    def set_reader(self, host: str, age_s: float) -> None:
        """Sets how long ago the store answered a reader."""
        self.peer(host).store_contact_at = NOW - age_s

    def must_read(self) -> bool:
        """Returns whether the node has to read the store."""
        return self.role() is not ReaderRole.NONE

    def role(self) -> ReaderRole:
        """Returns how the node has to read the store."""
        return make_policy(self.membership).choose_role(NOW, True)


def make_policy(membership, started_at=0.0) -> StoreReaderPolicy:
    """Returns the policy of a node."""
    return StoreReaderPolicy(membership, started_at, TIMING)


def must_read(policy, now, nodes_known=True) -> bool:
    """Returns whether a node has to read the store."""
    return policy.choose_role(now, nodes_known) is not ReaderRole.NONE


class TestStoreReaderPolicy:
    """Few nodes read the store, and no node is left without a reader."""

    @pytest.mark.parametrize("host", HOSTS)
    def test_the_first_nodes_read(self, host):
        """Guards against calls to the store that grow with the fleet."""
        fleet = Fleet(host)
        for reader in HOSTS[:READERS_PER_DOMAIN]:
            if reader != host:
                fleet.set_reader(reader, 0.1)
        assert fleet.must_read() == (host in HOSTS[:READERS_PER_DOMAIN])

    def test_without_a_reader_every_node_reads(self):
        """Guards against a domain in which all nodes wait for one another."""
        assert Fleet(HOSTS[4]).must_read()

    def test_a_loss_of_all_readers_does_not_make_all_nodes_read(self):
        """Guards against reads of many nodes that delay each other."""
        fleet = Fleet(HOSTS[4])
        policy = make_policy(fleet.membership)
        for host in HOSTS[:READERS_PER_DOMAIN]:
            fleet.set_reader(host, 0.1)
        assert not must_read(policy, NOW, True)
        for host in HOSTS[:READERS_PER_DOMAIN]:
            fleet.set_reader(host, STALE_S)
        assert not must_read(policy, NOW + 0.1, True)
        # None of the nodes before it has taken over.
        assert must_read(policy, NOW + TAKEOVER_S + 0.01, True)

    def test_the_next_nodes_read_at_once(self):
        """Guards against a domain without readers for longer than needed."""
        fleet = Fleet(HOSTS[2])
        policy = make_policy(fleet.membership)
        for host in HOSTS[:READERS_PER_DOMAIN]:
            fleet.set_reader(host, 0.1)
        assert not must_read(policy, NOW, True)
        for host in HOSTS[:READERS_PER_DOMAIN]:
            fleet.set_reader(host, STALE_S)
        assert must_read(policy, NOW + 0.1, True)

    def test_readers_that_lost_the_store_do_not_count(self):
        """Guards against nodes that rely on a reader without a connection."""
        fleet = Fleet(HOSTS[4])
        for host in HOSTS[:READERS_PER_DOMAIN]:
            fleet.set_reader(host, STALE_S)
        assert fleet.must_read()

    def test_the_next_node_replaces_a_reader_that_lost_the_store(self):
        """Guards against a domain that is left with a single reader."""
        third, fourth = Fleet(HOSTS[2]), Fleet(HOSTS[3])
        for fleet in (third, fourth):
            fleet.set_reader(HOSTS[0], STALE_S)
            fleet.set_reader(HOSTS[1], 0.1)
        assert third.must_read()
        assert not fourth.must_read()

    @pytest.mark.parametrize(
        "loss", ["unresponsive", "stopping", "failed", "silent"]
    )
    def test_lost_readers_are_replaced(self, loss):
        """Guards against failed readers that still count as readers."""
        fleet = Fleet(HOSTS[2])
        fleet.set_reader(HOSTS[0], 0.1)
        fleet.set_reader(HOSTS[1], 0.1)
        assert not fleet.must_read()
        peer = fleet.peer(HOSTS[0])
        if loss == "unresponsive":
            peer.unresponsive = True
        elif loss == "stopping":
            peer.record = record(HOSTS[0], stopping=True)
        elif loss == "failed":
            peer.failed = True
        else:
            peer.silent_since = NOW
        assert fleet.must_read()

    def test_readers_of_other_domains_do_not_count(self):
        """Guards against a domain that depends on a connection to another."""
        membership = Membership(record(HOSTS[4]))
        for host in HOSTS[:READERS_PER_DOMAIN]:
            membership.apply_record(record(host, "b"), True, NOW)
            peer = membership.peers[f"{host}:1"]
            peer.link = SimpleNamespace(up=True)
            peer.store_contact_at = NOW
        assert must_read(make_policy(membership), NOW)


class TestRoles:
    """One node reads at short intervals, and one covers for it."""

    def test_the_second_node_is_the_standby(self):
        """Guards against two nodes that both pay for short reads."""
        first, second = Fleet(HOSTS[0]), Fleet(HOSTS[1])
        second.set_reader(HOSTS[0], 0.1)
        assert first.role() is ReaderRole.READER
        assert second.role() is ReaderRole.STANDBY

    def test_the_standby_reads_while_no_reader_is_in_touch(self):
        """Guards against a standby that goes on with a silent long poll."""
        second = Fleet(HOSTS[1])
        second.set_reader(HOSTS[0], STALE_S)
        assert second.role() is ReaderRole.READER

    def test_a_node_that_took_over_becomes_the_standby(self):
        """Guards against readers that add up over the failures of a day."""
        third = Fleet(HOSTS[2])
        third.set_reader(HOSTS[0], STALE_S)
        third.set_reader(HOSTS[1], 0.1)
        assert third.role() is ReaderRole.STANDBY

    def test_calls_on_a_silent_store_hardly_grow_with_the_domain(self):
        """Guards against a fleet that presses a store that is down."""
        assert self.find_read_rate(64) < 4 * self.find_read_rate(8)

    def find_read_rate(self, nodes):
        """Returns the reads of a domain of nodes that all fail to read."""
        hosts = [f"10.0.0.{100 + number}" for number in range(nodes)]
        rate = 0.0
        for own in hosts:
            known = Membership(record(own))
            for host in hosts:
                known.apply_record(record(host), True, NOW)
            for peer in known.other_peers():
                peer.store_contact_at = NOW - STALE_S
            rate += 1.0 / make_policy(known).find_retry_factor()
        return rate


class TestStart:
    """A node that has just started."""

    @pytest.mark.parametrize("host", HOSTS)
    def test_only_the_first_nodes_read_at_a_start(self, host):
        """Guards against a start of all nodes in which each reads."""
        policy = make_policy(Fleet(host).membership, NOW)
        first = host in HOSTS[:READERS_PER_DOMAIN]
        assert must_read(policy, NOW + START_WAIT_S / 2, True) == first

    def test_no_node_reads_before_it_knows_the_others(self):
        """Guards against nodes that all take themselves for the first."""
        policy = make_policy(Membership(record(HOSTS[0])), NOW)
        assert not must_read(policy, NOW + START_WAIT_S / 2, False)
        assert must_read(policy, NOW + START_WAIT_S / 2, True)

    def test_a_node_that_hears_of_no_reader_reads(self):
        """Guards against a started node that waits for ever."""
        policy = make_policy(Fleet(HOSTS[4]).membership, NOW)
        assert must_read(policy, NOW + START_WAIT_S, False)
