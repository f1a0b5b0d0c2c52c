"""Tests of the weighted split of requests."""

import pytest
from vanillamast_sidecar.routing.weighted_split import WeightedSplit


class TestWeightedSplit:
    """Smooth weighted round robin."""

    @pytest.mark.parametrize("first", [1, 10, 33, 90, 99])
    def test_every_window_of_a_hundred_has_the_exact_share(self, first):
        """Guards against shares that are exact only over many requests."""
        split = WeightedSplit((("a", float(first)), ("b", 100.0 - first)))
        chosen = [split.choose() for _ in range(300)]
        for start in range(200):
            count = chosen[start : start + 100].count("a")
            assert abs(count - first) <= 1

    def test_a_weight_of_zero_gets_nothing(self):
        """Guards against requests to a service without a share."""
        split = WeightedSplit((("a", 0.0), ("b", 5.0)))
        assert {split.choose() for _ in range(50)} == {"b"}
