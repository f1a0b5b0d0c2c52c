"""Tests of usage caps with a model of a fleet of 70 nodes in four domains."""

import pytest

from tests.sidecar.usage.fleet_model import FleetModel, organisation

USUAL = 1.0 / 1.6  # Usual use as a share of the cap.
SIDES = {"d0": 0, "d1": 0, "d2": 1, "d3": 1}
RATES = (5.0, 30.0, 330.0)


def make_fleet(rate_per_s, seed=1, burst_s=1.0, calm_s=10.0, nodes=None):
    """Returns a fleet after some time of usual use."""
    fleet = FleetModel(organisation(rate_per_s, rate_per_s * burst_s), seed)
    usual = rate_per_s * USUAL
    fleet.run(calm_s, usual, select(fleet, nodes))
    return fleet, usual


def select(fleet, nodes):
    """Returns the nodes with these numbers, None for all."""
    return None if nodes is None else [fleet.nodes[n] for n in nodes]


@pytest.mark.parametrize("rate_per_s", RATES)
@pytest.mark.parametrize("nodes", [None, (20,), (20, 33, 61)])
class TestJump:
    """Demand that rises to many times the usual one."""

    def test_the_bound_holds_and_the_cap_is_used(self, rate_per_s, nodes):
        """Guards against a cap that is exceeded before the shares arrive."""
        for factor in (5.0, 7.5):
            fleet, usual = make_fleet(rate_per_s, nodes=nodes)
            start = fleet.now
            fleet.run(6.0, factor * usual, select(fleet, nodes))
            end = fleet.now
            fleet.run(5.0, usual, select(fleet, nodes))
            assert fleet.worst_excess() <= 0.0
            assert fleet.used(start, end) >= 0.97

    def test_usual_use_is_not_refused(self, rate_per_s, nodes):
        """Guards against refusals through the variation of calm traffic."""
        fleet, usual = make_fleet(rate_per_s, calm_s=5.0, nodes=nodes)
        refused = fleet.refused
        fleet.run(20.0, usual, select(fleet, nodes))
        assert fleet.refused - refused <= 0.01 * 20.0 * usual


@pytest.mark.parametrize("rate_per_s", RATES)
class TestPartitions:
    """Sides of a partition that do not hear each other."""

    def test_each_side_uses_its_part(self, rate_per_s):
        """Guards against a full cap on each side, and against too little."""
        fleet, usual = make_fleet(rate_per_s)
        fleet.part(SIDES)
        fleet.run(4.0, usual)
        start = fleet.now
        fleet.run(6.0, 7.5 * usual)
        end = fleet.now
        fleet.heal()
        fleet.run(5.0, usual)
        assert fleet.worst_excess() <= 0.0
        assert fleet.used(start, end) >= 0.85

    def test_demand_that_grows_on_one_side_does_not_enlarge_its_part(
        self, rate_per_s
    ):
        """Guards against parts that follow demand after the partition."""
        fleet, usual = make_fleet(rate_per_s)
        fleet.part(SIDES)
        large = [n for n in fleet.nodes if SIDES[n.domain] == 0]
        small = [n for n in fleet.nodes if SIDES[n.domain] == 1]
        fleet.run(8.0, 4.0 * usual, large * 7 + small)
        assert fleet.worst_excess() <= 0.0

    def test_demand_that_rises_with_the_partition(self, rate_per_s):
        """Guards against a partition that is noticed too late."""
        fleet, usual = make_fleet(rate_per_s)
        fleet.part(SIDES)
        fleet.run(8.0, 7.5 * usual)
        assert fleet.worst_excess() <= 0.0

    def test_a_single_node_that_is_cut_off(self, rate_per_s):
        """Guards against a cap that others use as well as that node."""
        nodes = (20, 33, 61)
        fleet, usual = make_fleet(rate_per_s, nodes=nodes)
        fleet.nodes[33].cut_off = True
        fleet.run(3.0, usual, select(fleet, nodes))
        start = fleet.now
        fleet.run(6.0, 7.5 * usual, select(fleet, nodes))
        end = fleet.now
        fleet.nodes[33].cut_off = False
        fleet.run(5.0, usual, select(fleet, nodes))
        assert fleet.worst_excess() <= 0.0
        assert fleet.used(start, end) >= 0.85


@pytest.mark.parametrize("rate_per_s", RATES)
class TestChanges:
    """Caps, callers, hubs and nodes that change."""

    def test_a_lowered_cap_holds_one_window_later(self, rate_per_s):
        """Guards against saved tokens that outlast a lowered cap."""
        fleet, usual = make_fleet(rate_per_s)
        low = organisation(rate_per_s * 0.1, rate_per_s * 0.1)
        fleet.set_cap(low)
        start = fleet.now
        fleet.run(10.0, usual)
        assert fleet.worst_excess(low, start + 2.5) <= 0.0

    def test_a_raised_cap_is_used(self, rate_per_s):
        """Guards against shares that stay low after a cap was raised."""
        fleet, usual = make_fleet(rate_per_s)
        fleet.run(4.0, 6.0 * usual)
        fleet.set_cap(organisation(rate_per_s * 3.0, rate_per_s))
        start = fleet.now
        fleet.run(6.0, 6.0 * usual)
        runs = sum(at >= start for at in fleet.runs)
        assert runs >= 0.9 * 3.0 * rate_per_s * 6.0
        assert fleet.worst_excess() <= 0.0

    def test_callers_that_repeat_at_once_do_not_shrink_the_cap(
        self, rate_per_s
    ):
        """Guards against a share that falls with its own refusals."""
        fleet, usual = make_fleet(rate_per_s)
        fleet.return_s = 0.05
        start = fleet.now
        fleet.run(6.0, 5.0 * usual)
        assert fleet.worst_excess() <= 0.0
        assert fleet.used(start, fleet.now) >= 0.97

    def test_a_killed_hub(self, rate_per_s):
        """Guards against a takeover that releases or refuses everything."""
        fleet, usual = make_fleet(rate_per_s)
        fleet.run(3.0, 7.5 * usual)
        fleet.hubs_of("d1")[0].running = False
        start = fleet.now
        fleet.run(0.5, 7.5 * usual)
        next(
            n for n in fleet.nodes if n.domain == "d1" and not n.is_hub
        ).is_hub = True
        fleet.run(5.5, 7.5 * usual)
        assert fleet.worst_excess() <= 0.0
        assert fleet.used(start, fleet.now) >= 0.85

    def test_a_kill_of_all_nodes(self, rate_per_s):
        """Guards against restarted nodes that begin with full buckets."""
        fleet, usual = make_fleet(rate_per_s)
        fleet.run(4.0, 7.5 * usual)
        for node in fleet.nodes:
            node.running = False
        fleet.run(0.5, 7.5 * usual)
        for node in fleet.nodes:
            node.start(2)
            node.ledger.apply_organisations([fleet.cap])
        fleet.run(8.0, 7.5 * usual)
        assert fleet.worst_excess() <= 0.0
