"""Tests of what a hub knows of its failure domain."""

import msgspec
from vanillamast_sidecar.mesh.hub import (
    FIRST_HEARTBEAT_TIMEOUT_S,
    HEARTBEAT_TIMEOUT_S,
    REMOTE_STATUS_LIFETIME_S,
    Hub,
)
from vanillamast_sidecar.mesh.messages import DomainStatus

from tests.sidecar.hub_fixture import BUSY, IDLE, address, heartbeat, membership


def make_hub() -> Hub:
    """Returns the hub 1 of the nodes 1 to 3; 8 and 9 are of another domain."""
    return Hub(membership(1, [2, 3], [8, 9]))


class TestSilentNodes:
    """Only nodes whose heartbeats stopped are silent."""

    def test_a_node_whose_heartbeats_stopped_is_silent(self):
        """Guards against a dead node that stays in use."""
        hub = make_hub()
        hub.find_silent(0.0)
        end = FIRST_HEARTBEAT_TIMEOUT_S + 1.0
        for number in (2, 3):
            hub.handle_heartbeat(address(number), heartbeat(), end)
        later = end + HEARTBEAT_TIMEOUT_S + 0.1
        hub.handle_heartbeat(address(3), heartbeat(), later)
        assert hub.find_silent(later) == {address(2)}

    def test_a_new_hub_waits_for_first_heartbeats(self):
        """Guards against a new hub that reports all nodes as silent."""
        hub = make_hub()
        assert hub.find_silent(50.0) == set()
        assert hub.find_silent(50.0 + FIRST_HEARTBEAT_TIMEOUT_S) == set()
        hub.handle_heartbeat(address(2), heartbeat(), 51.0)
        assert hub.find_silent(51.3) == {address(3)}

    def test_a_node_that_returns_is_heard_again(self):
        """Guards against a node that stays out of use after a pause."""
        hub = make_hub()
        hub.find_silent(0.0)
        assert address(2) in hub.find_silent(10.0)
        hub.handle_heartbeat(address(2), heartbeat(), 10.0)
        assert address(2) not in hub.find_silent(10.1)

    def test_nodes_of_other_domains_are_silent_if_all_their_hubs_say_so(self):
        """Guards against one hub's view that takes nodes out of use."""
        hub = make_hub()
        hub.handle_status(address(8), DomainStatus(["x", "y"], 1), 5.0)
        hub.handle_status(address(9), DomainStatus(["y"], 1), 5.0)
        assert hub.find_remote_silent(5.1) == {"y"}

    def test_old_statuses_of_other_domains_do_not_count(self):
        """Guards against nodes that stay silent after their hub was lost."""
        hub = make_hub()
        hub.handle_status(address(8), DomainStatus(["x"], 1), 5.0)
        later = 5.0 + REMOTE_STATUS_LIFETIME_S + 0.1
        assert hub.find_remote_silent(later) == set()


class TestReports:
    """Reports carry what has changed, and everything for a new node."""

    def test_only_changed_loads_are_reported(self):
        """Guards against reports that grow with the domain at rest."""
        hub = make_hub()
        hub.handle_heartbeat(address(2), heartbeat(), 1.0)
        hub.handle_heartbeat(address(3), heartbeat(), 1.0)
        first = hub.make_report(set(), [], 0, 1.0)
        assert {load for _, load in first.loads} == {IDLE}
        assert len(first.loads) == 2
        hub.handle_heartbeat(address(2), heartbeat(), 1.2)
        hub.handle_heartbeat(address(3), heartbeat(BUSY), 1.2)
        second = hub.make_report(set(), [], 0, 1.2)
        number = {name: n for n, name in first.names}[address(3)]
        assert second.loads == [(number, BUSY)]
        assert second.names == []

    def test_a_new_node_gets_everything(self):
        """Guards against a node that never learns of idle servers."""
        hub = make_hub()
        hub.handle_heartbeat(address(2), heartbeat(BUSY), 1.0)
        hub.make_report(set(), [], 0, 1.0)
        report = hub.make_first_report({"z"}, ["b"], 1.1)
        assert [name for _, name in report.names] == [address(2)]
        assert [load for _, load in report.loads] == [BUSY]
        assert (report.silent, report.lost_domains) == (["z"], ["b"])

    def test_numbers_are_not_reused(self):
        """Guards against a load that is applied to a removed node's number."""
        hub = make_hub()
        hub.handle_heartbeat(address(2), heartbeat(), 1.0)
        hub.handle_heartbeat(address(3), heartbeat(), 1.0)
        hub.remove(address(2))
        hub.handle_heartbeat(address(2), heartbeat(), 2.0)
        numbers = [
            number for number, _ in hub.make_first_report(set(), [], 2.0).names
        ]
        assert len(set(numbers)) == 2

    def test_reports_name_the_hub_and_the_store_readers(self):
        """Guards against nodes that wait for a reader that does not read."""
        hub = make_hub()
        hub.handle_heartbeat(address(1), heartbeat(), 1.0)
        hub.handle_heartbeat(address(2), heartbeat(store_age_s=0.2), 1.0)
        hub.handle_heartbeat(address(3), heartbeat(), 1.0)
        versions = {
            version.address: version.store_age_s
            for version in hub.make_report(set(), [], 0, 1.5).versions
        }
        assert versions == {address(1): None, address(2): 0.7}

    def test_lost_store_readers_are_not_reported(self):
        """Guards against nodes that fetch from a reader that is gone."""
        hub = make_hub()
        hub.handle_heartbeat(address(2), heartbeat(store_age_s=0.2), 1.0)
        later = 1.0 + 2 * HEARTBEAT_TIMEOUT_S + 0.1
        assert hub.make_report(set(), [], 0, later).versions == []


class TestVersions:
    """How far the nodes have read the operator's stream."""

    def test_the_era_of_an_offset_is_passed_on(self):
        """Guards against offsets that are compared without their era."""
        hub = make_hub()
        sent = msgspec.structs.replace(
            heartbeat(store_age_s=0.1), operator_era=2
        )
        hub.handle_heartbeat(address(2), sent, 5.0)
        report = hub.make_report(set(), [], 0, 5.1)
        assert [version.operator_era for version in report.versions] == [2]
