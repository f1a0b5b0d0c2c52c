"""Tests of which nodes are hubs."""

import pytest
from vanillamast_sidecar.mesh.hub_selector import (
    CONNECT_PATIENCE_S,
    select_hubs,
)

from tests.sidecar.hub_fixture import address, membership, record

NOW = 50.0


def selected(known) -> list[str]:
    """Returns the addresses of the hubs of the own domain."""
    return [
        peer.record.address for peer in select_hubs(known.own_domain(), NOW)
    ]


class TestSelectHubs:
    """The reachable nodes with the lowest addresses are hubs."""

    def test_nodes_of_a_domain_agree(self):
        """Guards against nodes that use different hubs."""
        for own in (1, 2, 3, 4):
            others = [number for number in (1, 2, 3, 4) if number != own]
            assert selected(membership(own, others, [8])) == [
                address(1),
                address(2),
            ]

    @pytest.mark.parametrize(
        "loss", ["failed", "unresponsive", "silent", "stopping"]
    )
    def test_lost_nodes_are_passed_over(self, loss):
        """Guards against a domain that waits for a hub that is gone."""
        known = membership(4, [1, 2, 3], [])
        peer = known.peers[address(1)]
        if loss == "stopping":
            stopping = record(1)
            known.apply_record(
                type(stopping)(address(1), "a", 1, 1, True, None), False, NOW
            )
        elif loss == "silent":
            peer.silent_since = NOW
        else:
            setattr(peer, loss, True)
        assert selected(known) == [address(2), address(3)]

    def test_many_nodes_that_do_not_answer_cost_little_time(self):
        """Guards against a start that tries dead nodes one after the other."""
        known = membership(5, [1, 2, 3, 4], [])
        for number in (1, 2, 3):
            peer = known.peers[address(number)]
            peer.connecting = object()
            peer.connecting_since = NOW - CONNECT_PATIENCE_S
        assert selected(known) == [address(4), address(5)]
        known.peers[address(1)].connecting = None
        assert selected(known) == [address(1), address(4)]
