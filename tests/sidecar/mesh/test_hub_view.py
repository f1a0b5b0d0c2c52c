"""Tests of what a node takes from the reports of its hubs."""

from vanillamast_sidecar.mesh.hub_view import (
    MISMATCHES_BEFORE_FETCH,
    READER_LIFETIME_S,
    REPORT_LIFETIME_S,
    HubView,
)
from vanillamast_sidecar.mesh.messages import HubReport, VersionReport
from vanillamast_sidecar.operator_state.reader_role import ReaderRole
from vanillamast_sidecar.operator_state.reader_timing import ReaderTiming
from vanillamast_sidecar.operator_state.store_reader_policy import (
    StoreReaderPolicy,
)

from tests.sidecar.hub_fixture import (
    BUSY,
    address,
    heartbeat,
    membership,
    record,
)

HUB, OTHER_HUB = address(1), address(2)


def make_view() -> HubView:
    """Returns the view of node 5; 1 to 4 share its domain, 8 is of `b`."""
    return HubView(membership(5, [1, 2, 3, 4], [8]))


def report(names=(), loads=(), silent=(), lost=(), versions=()) -> HubReport:
    """Returns a report."""
    return HubReport(
        list(names), list(loads), list(silent), list(lost), list(versions), 0
    )


class TestUnheardNodes:
    """A node is taken out of use only if all reporting hubs agree."""

    def test_one_hub_that_hears_a_node_is_enough(self):
        """Guards against a node taken out of use by a mistaken hub."""
        view = make_view()
        view.apply_report(HUB, report(silent=[address(3), address(4)]), 1.0)
        view.apply_report(OTHER_HUB, report(silent=[address(4)]), 1.0)
        assert view.find_unheard(1.1) == {address(4)}

    def test_a_hub_that_stopped_reporting_does_not_count(self):
        """Guards against a dead hub whose last report keeps nodes in use."""
        view = make_view()
        view.apply_report(HUB, report(), 1.0)
        later = 1.0 + REPORT_LIFETIME_S + 0.1
        view.apply_report(OTHER_HUB, report(silent=[address(4)]), later)
        assert view.find_unheard(later) == {address(4)}

    def test_without_a_hub_no_node_is_unheard(self):
        """Guards against a cut-off node that gives up on all others."""
        view = make_view()
        view.apply_report(HUB, report(silent=[address(4)]), 1.0)
        assert view.find_unheard(1.0 + REPORT_LIFETIME_S + 0.1) == set()

    def test_all_nodes_of_a_lost_domain_are_unheard(self):
        """Guards against requests to a failure domain that was cut off."""
        view = make_view()
        view.apply_report(HUB, report(lost=["b"]), 1.0)
        assert view.find_unheard(1.1) == {address(8)}


class TestLoadsAndReaders:
    """Loads and store readers are applied to the known nodes."""

    def test_loads_are_applied_by_number(self):
        """Guards against a load that is applied to another node."""
        view = make_view()
        view.apply_report(HUB, report(names=[(7, address(3))]), 1.0)
        view.apply_report(OTHER_HUB, report(names=[(7, address(4))]), 1.0)
        view.apply_report(HUB, report(loads=[(7, BUSY)]), 1.2)
        peers = view.membership.peers
        assert peers[address(3)].load == BUSY
        assert peers[address(4)].load != BUSY

    def test_unknown_numbers_are_ignored(self):
        """Guards against an error on a report that outran its names."""
        make_view().apply_report(HUB, report(loads=[(99, BUSY)]), 1.0)

    def test_readers_that_the_store_refuses_do_not_stop_another(self):
        """Guards against nodes that take turns in reading and never finish."""
        view = HubView(membership(3, [1, 2, 4], [8]))
        timing = ReaderTiming.from_apply_s(2.0)
        policy = StoreReaderPolicy(view.membership, 0.0, timing)
        for tick in range(1, 50):
            now = tick * 0.2
            refused = [VersionReport(address(n), 1, 1, now) for n in (1, 2)]
            reading = VersionReport(address(4), 1, 1, 0.1)
            view.apply_report(HUB, report(versions=[*refused, reading]), now)
            if now > timing.freshness_s:
                assert policy.choose_role(now, True) is ReaderRole.READER

    def test_a_reader_that_is_no_longer_reported_is_none(self):
        """Guards against a node that waits for a reader that stopped."""
        view = make_view()
        version = VersionReport(address(1), 1, 1, 0.2)
        view.apply_report(HUB, report(versions=[version]), 1.0)
        peer = view.membership.peers[address(1)]
        assert peer.store_contact_at == 0.8
        view.apply_report(HUB, report(), 1.0 + READER_LIFETIME_S)
        assert peer.store_contact_at is None

    def test_a_reader_that_gives_up_is_none_at_once(self):
        """Guards against takeovers that wait for an old answer to age."""
        view = make_view()
        peer = view.membership.peers[address(1)]
        for hub in (HUB, OTHER_HUB):
            version = VersionReport(address(1), 1, 1, 0.2)
            view.apply_report(hub, report(versions=[version]), 1.0)
        lost = VersionReport(address(1), 1, 1, 9.0)
        view.apply_report(HUB, report(versions=[lost]), 1.2)
        # The other hub may have a newer heartbeat of the reader.
        assert peer.store_contact_at == 0.8
        view.apply_report(OTHER_HUB, report(versions=[lost]), 1.4)
        assert peer.store_contact_at < 0.0

    def test_a_hub_knows_what_readers_tell_it_and_other_hubs(self):
        """Guards against a hub that takes its own reports for newer ones."""
        view = make_view()
        peer = view.membership.peers[address(3)]
        view.apply_heartbeat(peer, heartbeat(store_age_s=0.1), 1.0)
        lost = VersionReport(address(3), 1, 1, 9.0)
        view.apply_report(HUB, report(versions=[lost]), 1.1)
        assert peer.store_contact_at == 0.9
        view.apply_heartbeat(peer, heartbeat(store_age_s=None), 1.2)
        assert peer.store_contact_at < 0.0
        view.apply_report(HUB, report(), 1.3)
        assert peer.store_contact_at is None


class TestDigests:
    """Records that differ for a while are fetched."""

    def test_equal_records_are_not_fetched(self):
        """Guards against fetches at rest."""
        view = make_view()
        for _ in range(5):
            assert not view.needs_records(HUB, view.membership.digest())

    def test_a_lasting_difference_is_repaired(self):
        """Guards against a record that a node never gets."""
        view = make_view()
        other = membership(5, [1, 2, 3, 4], [8])
        other.apply_record(record(3, revision=1), False, 0.0)
        results = [
            view.needs_records(HUB, other.digest())
            for _ in range(MISMATCHES_BEFORE_FETCH)
        ]
        assert results == [False] * (MISMATCHES_BEFORE_FETCH - 1) + [True]

    def test_digests_do_not_depend_on_the_order_of_arrival(self):
        """Guards against fetches between nodes with equal records."""
        one = membership(5, [1, 2, 3], [8])
        two = membership(1, [3, 2, 5], [8])
        assert one.digest() == two.digest()

    def test_several_equal_changes_do_not_cancel_out(self):
        """Guards against a checksum that misses an even number of changes."""
        one = membership(5, [1, 2, 3, 4], [8])
        two = membership(5, [1, 2, 3, 4], [8])
        for number in (1, 2, 3, 4):
            two.apply_record(record(number, revision=1), False, 0.0)
        assert one.digest() != two.digest()
