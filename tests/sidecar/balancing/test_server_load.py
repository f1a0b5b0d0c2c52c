"""Tests of the load that servers state and of the pace derived from it."""

import pytest
from vanillamast_sidecar.balancing.pace_tracker import (
    PACE_HALF_LIFE_S,
    PaceTracker,
)
from vanillamast_sidecar.balancing.server_load import (
    MAX_PACE,
    ServerLoad,
    read_server_load,
)
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.http.http_message import HttpResponse

FIELDS = FieldNames(*[b"x"] * 8, server_load=b"load")


class TestReadServerLoad:
    """Loads are read from responses, odd ones are ignored."""

    @pytest.mark.parametrize(
        ("value", "load"),
        [
            (b"3,0,8", ServerLoad(3, 0, 8, 0)),
            (b"3, 1, 8, 250", ServerLoad(3, 1, 8, 250)),
            (b"3,1,8,250,9", ServerLoad(3, 1, 8, 250)),
            (b"3,1,8,99999999999", ServerLoad(3, 1, 8, MAX_PACE)),
            (b"3,1", None),
            (b"3,1,8,fast", None),
            (b"-1,1,8", None),
            (b"", None),
        ],
    )
    def test_values(self, value, load):
        """Guards against a response that ends a request or a process."""
        response = HttpResponse(200, [(b"Load", value)])
        assert read_server_load(response, FIELDS) == load

    def test_a_response_without_the_field(self):
        """Guards against a load that nobody stated."""
        assert read_server_load(HttpResponse(200, []), FIELDS) is None


class TestPaceTracker:
    """The newest statement counts less with age."""

    def test_without_statements_nothing_changes(self):
        """Guards against servers without the field that seem slow."""
        tracker = PaceTracker()
        tracker.add(0, 1.0)
        assert tracker.factor(1.0) == 1.0

    def test_a_slow_moment_passes(self):
        """Guards against a server that is avoided long after it was slow."""
        tracker = PaceTracker()
        for _ in range(50):
            tracker.add(100, 1.0)
        tracker.add(250, 1.0)
        assert tracker.factor(1.0) > 2.0
        assert tracker.factor(1.0 + 8 * PACE_HALF_LIFE_S) < 1.02

    def test_the_mean_pace_is_no_slowdown(self):
        """Guards against durations that count a steady slowdown twice."""
        tracker = PaceTracker()
        for _ in range(50):
            tracker.add(200, 1.0)
        assert tracker.factor(1.0) == 1.0
