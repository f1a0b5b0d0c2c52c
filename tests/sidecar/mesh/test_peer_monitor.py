"""Tests of when a node counts as silent, unresponsive or removed."""

import asyncio
import os
from types import SimpleNamespace

import pytest
from vanillamast_sidecar.mesh.hub import HEARTBEAT_TIMEOUT_S
from vanillamast_sidecar.mesh.peer_monitor import (
    PING_TIMEOUT_S,
    REMOVE_AFTER_S,
    PeerMonitor,
)
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics

from tests.sidecar.hub_fixture import address, membership


class FakeLink:
    """Stands in for an open connection.

    Attributes:
      given_up: Number of times that calls were given up.
    """

    def __init__(self, pending: bool):
        self.up = True
        self.pending = {1: "call"} if pending else {}
        self.last_received_at = 0.0
        self.ping_sent_at = 0.0
        self.given_up = 0

    def ping(self, now: float) -> None:
        """Sends a ping unless one is unanswered."""
        self.ping_sent_at = self.ping_sent_at or now

    def give_up_retryable_calls(self) -> int:
        """Counts that calls were given up."""
        self.given_up += 1
        return 1


@pytest.fixture
async def monitor():
    """Returns the monitor of node 1, which knows 2 and 8."""
    known = membership(1, [2], [8])
    links = SimpleNamespace(linked={})
    log = EventLogger("m", os.open(os.devnull, os.O_WRONLY))
    yield PeerMonitor(known, links, log, Metrics())
    await asyncio.sleep(0)


def link(monitor, number: int, pending: bool) -> FakeLink:
    """Connects a node."""
    peer = monitor.membership.peers[address(number)]
    peer.link = FakeLink(pending)
    monitor.links.linked[address(number)] = peer
    return peer.link


class TestConnections:
    """Nodes that owe a reply are pinged before they count as lost."""

    async def test_an_idle_connection_is_left_alone(self, monitor):
        """Guards against pings that grow with the number of connections."""
        connection = link(monitor, 2, pending=False)
        monitor.check_links({}, 60.0)
        assert not connection.ping_sent_at
        assert monitor.membership.peers[address(2)].reachable

    async def test_a_node_without_a_pong_is_unresponsive(self, monitor):
        """Guards against calls that wait for a node that is gone."""
        connection = link(monitor, 2, pending=True)
        monitor.check_links({}, PING_TIMEOUT_S + 0.1)
        assert connection.ping_sent_at and not connection.given_up
        monitor.check_links({}, 2 * PING_TIMEOUT_S + 0.2)
        assert not monitor.membership.peers[address(2)].reachable
        assert connection.given_up

    async def test_a_node_that_answers_is_used_again(self, monitor):
        """Guards against a node that stays out of use after a pause."""
        connection = link(monitor, 2, pending=True)
        monitor.check_links({}, 1.0)
        monitor.check_links({}, 2.0)
        connection.last_received_at = 2.1
        connection.ping_sent_at = 0.0
        monitor.check_links({}, 2.2)
        assert monitor.membership.peers[address(2)].reachable

    async def test_hubs_are_pinged_without_calls(self, monitor):
        """Guards against a lost failure domain that nobody notices."""
        connection = link(monitor, 8, pending=False)
        monitor.check_links({address(8): 1.0}, 1.1)
        assert connection.ping_sent_at


class TestSilence:
    """What follows from the reports of the hubs."""

    async def test_calls_in_flight_to_a_silent_node_go_on(self, monitor):
        """Guards against work started again while a slow node still runs it."""
        connection = link(monitor, 2, pending=True)
        connection.last_received_at = 10.0
        monitor.apply_unheard({address(2)}, 10.0)
        monitor.check_links({}, 10.0)
        assert not monitor.membership.peers[address(2)].reachable
        assert not connection.given_up

    async def test_a_node_that_sends_messages_is_not_silent(self, monitor):
        """Guards against a working node that a hub takes out of use."""
        peer = monitor.membership.peers[address(2)]
        peer.last_received_at = 9.9
        monitor.apply_unheard({address(2)}, 10.0)
        assert peer.reachable
        monitor.apply_unheard({address(2)}, 10.0 + HEARTBEAT_TIMEOUT_S)
        assert not peer.reachable
        peer.last_received_at = 11.0
        monitor.apply_unheard({address(2)}, 11.1)
        assert peer.reachable

    async def test_a_node_that_hubs_hear_again_is_used(self, monitor):
        """Guards against a node that stays out of use."""
        peer = monitor.membership.peers[address(2)]
        monitor.apply_unheard({address(2)}, 10.0)
        monitor.apply_unheard(set(), 10.1)
        assert peer.reachable

    async def test_a_lost_node_is_removed_until_it_returns(self, monitor):
        """Guards against records of lost nodes that pile up or come back."""
        known = monitor.membership
        old = known.peers[address(2)].record
        monitor.apply_unheard({address(2)}, 10.0)
        later = 10.0 + REMOVE_AFTER_S + 1.0
        assert monitor.apply_unheard({address(2)}, later) == [address(2)]
        assert address(2) not in known.peers
        known.apply_record(old, False, later)
        assert address(2) not in known.peers
        known.apply_record(old, True, later)
        assert address(2) in known.peers
