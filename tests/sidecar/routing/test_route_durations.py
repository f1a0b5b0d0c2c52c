"""Tests of the durations of routes, compared with others."""

import pytest
from vanillamast_sidecar.routing.route_durations import (
    MAX_RATIO,
    RouteDurations,
)


class TestRouteDurations:
    """Ratios follow the requests of a route."""

    def test_unknown_routes_take_as_long_as_others(self):
        """Guards against a guess about a route that was never used."""
        assert RouteDurations().get_ratio("lookup", "exports") == 1.0

    def test_ratios_follow_the_requests(self):
        """Guards against short routes that count as long as the mean."""
        durations = RouteDurations()
        for _ in range(20):
            durations.add("lookup", "exports", 0.03, 0.3)
        assert durations.get_ratio("lookup", "exports") == pytest.approx(0.1)
        assert durations.get_ratio("lookup", "archive") == 1.0

    def test_one_outlier_does_not_exclude_all_servers(self):
        """Guards against a route that counts as late everywhere."""
        durations = RouteDurations()
        durations.add("page", "browse", 100.0, 0.1)
        assert durations.get_ratio("page", "browse") == MAX_RATIO

    def test_servers_without_a_mean_are_ignored(self):
        """Guards against a division by zero at a new server."""
        durations = RouteDurations()
        durations.add("page", "browse", 0.1, 0.0)
        assert durations.get_ratio("page", "browse") == 1.0

    def test_removed_routes_are_forgotten(self):
        """Guards against state that grows with every configuration."""
        durations = RouteDurations()
        durations.add("old", "browse", 0.1, 0.1)
        durations.add("new", "browse", 0.1, 0.1)
        durations.keep_routes({"new"})
        assert set(durations.ratios) == {("new", "browse")}
