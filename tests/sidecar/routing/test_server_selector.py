"""Tests of the choice of a server for an attempt."""

import collections
import random
from types import SimpleNamespace

import msgspec
import pytest
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.membership.peer import Peer
from vanillamast_sidecar.operator_state.evacuation import Evacuation
from vanillamast_sidecar.operator_state.snapshot import WarmUp
from vanillamast_sidecar.rollouts.move_table import MoveTable
from vanillamast_sidecar.routing.server_selector import ServerSelector

NOW = 100.0
SLOTS = 4
SAME_DOMAIN_DEADLINE = NOW + 1.0


def node(host: str, domain: str, instance: bool) -> NodeRecord:
    """Returns a node, with or without a local server."""
    server = InstanceRecord(
        f"i-{host}",
        1,
        1,
        "browse",
        "v1",
        SLOTS,
        True,
        False,
        0.0,
        f"{host}:1",
    )
    return NodeRecord(
        f"{host}:2", domain, 1, 0, False, server if instance else None
    )


class Chooser:
    """A node that chooses among the servers of a service.

    Attributes:
      membership: The nodes that it knows.
      selector: Chooses a server.
    """

    def __init__(self, seed: int, same_domain: int, cross_domain: int = 0):
        self.membership = Membership(node("10.9.0.1", "a", False))
        hosts = [(f"10.1.0.{n}", "a") for n in range(same_domain)]
        hosts += [(f"10.2.0.{n}", "b") for n in range(cross_domain)]
        for host, domain in hosts:
            self.membership.apply_record(node(host, domain, True), True, NOW)
        for peer in self.membership.other_peers():
            peer.link = SimpleNamespace(up=True)
            peer.used_incarnation = (peer.record.instance.id, 1)
        self.selector = ServerSelector(
            MoveTable(lambda _: None), random.Random(seed)
        )

    def report(self, host: str, load: LoadReport) -> Peer:
        """Applies a load report of a server."""
        peer = self.membership.peers[f"{host}:2"]
        peer.apply_load_report(load, NOW)
        return peer

    def choose(self, duration_ratio: float = 1.0) -> str:
        """Chooses a server, which then has one more outstanding request."""
        peer = self.selector.choose(
            self.membership.peers_serving("browse"),
            set(),
            "browse",
            1,
            SAME_DOMAIN_DEADLINE,
            NOW,
            duration_ratio,
        )
        assert peer is not None
        peer.outstanding += 1
        return peer.record.address


class TestServerSelector:
    """Requests are spread over servers that answer in time."""

    def test_many_nodes_do_not_choose_the_same_server(self):
        """Guards against all nodes overloading the fastest server at once."""
        chosen: collections.Counter[str] = collections.Counter()
        for seed in range(20):
            chooser = Chooser(seed, same_domain=10)
            for n in range(10):
                mean_s = 0.1 + 0.02 * n
                chooser.report(f"10.1.0.{n}", LoadReport(0, 0, mean_s, 0.0))
            chosen[chooser.choose()] += 1
        assert max(chosen.values()) <= 2 * SLOTS

    def test_faster_servers_are_preferred(self):
        """Guards against a choice that ignores the servers' speed."""
        chosen: collections.Counter[str] = collections.Counter()
        for seed in range(200):
            chooser = Chooser(seed, same_domain=4)
            for n in range(4):
                mean_s = 0.1 + 0.1 * n
                chooser.report(f"10.1.0.{n}", LoadReport(0, 0, mean_s, 0.0))
            chosen[chooser.choose()] += 1
        assert chosen["10.1.0.0:2"] > 2 * chosen["10.1.0.2:2"]
        assert chosen["10.1.0.3:2"] == 0

    def test_a_free_server_goes_before_full_ones(self):
        """Guards against requests that wait while a server is free."""
        for seed in range(20):
            chooser = Chooser(seed, same_domain=6)
            for n in range(5):
                chooser.report(f"10.1.0.{n}", LoadReport(SLOTS, 0, 0.1, 0.0))
            chooser.report("10.1.0.5", LoadReport(0, 0, 0.3, 0.0))
            assert chooser.choose() == "10.1.0.5:2"

    def test_the_better_of_two_servers_is_chosen(self):
        """Guards against a random choice where two servers are compared."""
        for seed in range(20):
            chooser = Chooser(seed, same_domain=2)
            chooser.report("10.1.0.0", LoadReport(0, 0, 0.3, 0.0))
            chooser.report("10.1.0.1", LoadReport(0, 0, 0.1, 0.0))
            assert chooser.choose() == "10.1.0.1:2"

    def test_other_domains_get_only_what_the_own_domain_cannot_take(self):
        """Guards against cross-domain traffic without need."""
        chooser = Chooser(1, same_domain=1, cross_domain=3)
        chooser.report("10.1.0.0", LoadReport(SLOTS, 0, 0.3, 0.0))
        assert chooser.choose() == "10.1.0.0:2"
        chooser.report("10.1.0.0", LoadReport(SLOTS, 12, 0.3, 0.0))
        assert chooser.choose().startswith("10.2.")

    def test_short_requests_stay_beside_long_ones(self):
        """Guards against lookups that cross domains for the exports' mean."""
        chooser = Chooser(1, same_domain=1, cross_domain=3)
        chooser.report("10.1.0.0", LoadReport(1, 0, 1.2, 0.0))
        assert chooser.choose().startswith("10.2.")
        assert chooser.choose(duration_ratio=0.1) == "10.1.0.0:2"

    def test_a_new_server_is_tried_by_few_nodes_at_once(self):
        """Guards against all nodes trying a new server at the same time."""
        tried = 0
        for seed in range(100):
            chooser = Chooser(seed, same_domain=10)
            for n in range(10):
                chooser.report(f"10.1.0.{n}", LoadReport(0, 0, 0.1, 0.0))
            new = chooser.report("10.1.0.7", LoadReport(0, 0, 0.3, 0.0))
            new.used_incarnation = None
            tried += chooser.choose() == "10.1.0.7:2"
        assert 3 <= tried <= 25

    def test_a_busy_new_server_is_not_tried(self):
        """Guards against requests that wait at a server of unknown speed."""
        for seed in range(20):
            chooser = Chooser(seed, same_domain=2)
            chooser.report("10.1.0.0", LoadReport(0, 0, 0.1, 0.0))
            new = chooser.report("10.1.0.1", LoadReport(SLOTS, 0, 0.1, 0.0))
            new.used_incarnation = None
            assert chooser.choose() == "10.1.0.0:2"


class TestColdServers:
    """Cold servers with a limit get what warm ones cannot take."""

    def chosen(self, chooser, count=20):
        """Returns the nodes that were chosen."""
        return {chooser.choose() for _ in range(count)}

    def test_a_warm_server_is_preferred(self):
        """Guards against requests that a cold server refuses."""
        chooser = Chooser(1, same_domain=4)
        chooser.selector.warm_ups = {"browse": WarmUp(10.0, 7.0)}
        for n in range(3):
            chooser.membership.peers[f"10.1.0.{n}:2"].cold_until = NOW + 5.0
        assert self.chosen(chooser, SLOTS) == {"10.1.0.3:2"}

    def test_cold_servers_are_used_if_there_are_no_others(self):
        """Guards against a service that is unused while all are cold."""
        chooser = Chooser(1, same_domain=3)
        chooser.selector.warm_ups = {"browse": WarmUp(10.0, 7.0)}
        for peer in chooser.membership.other_peers():
            peer.cold_until = NOW + 5.0
        assert len(self.chosen(chooser)) == 3


class TestEvacuations:
    """Servers of evacuated failure domains are never chosen."""

    def test_another_domain_takes_the_requests(self):
        """Guards against requests to a failure domain that is evacuated."""
        chooser = Chooser(1, same_domain=5, cross_domain=1)
        chooser.selector.evacuations.apply([Evacuation("a", True, 1)])
        for _ in range(40):
            assert chooser.choose() == "10.2.0.0:2"

    def test_no_other_domain(self):
        """Guards against an evacuated server as the last resort."""
        chooser = Chooser(1, same_domain=5)
        chooser.selector.evacuations.apply([Evacuation("a", True, 1)])
        with pytest.raises(AssertionError):
            chooser.choose()

    def test_versions_that_only_evacuated_servers_have(self):
        """Guards against a version without servers that takes all requests."""
        chooser = Chooser(1, same_domain=1, cross_domain=1)
        peer = chooser.membership.peers["10.1.0.0:2"]
        older = msgspec.structs.replace(
            peer.record.instance, version="v0", born_ms=0
        )
        peer.record = msgspec.structs.replace(peer.record, instance=older)
        assert chooser.choose() == "10.1.0.0:2"
        chooser.selector.evacuations.apply([Evacuation("a", True, 1)])
        assert chooser.choose() == "10.2.0.0:2"
