"""Tests of the split of one node's requests."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_core.moves import VersionSplit


class TestVersionSplit:
    """The split keeps the authorized share."""

    @given(
        st.lists(
            st.tuples(st.floats(0.0, 1.0), st.integers(0, 300)), max_size=8
        ),
        st.integers(),
    )
    def test_fuzz_share(self, phases, seed):
        """Guards against drift, and against any request at share 0."""
        split = VersionSplit(0.0, random.Random(seed))
        for share, requests in phases:
            split.set_share(share)
            chosen = sum(split.choose() for _ in range(requests))
            assert abs(chosen - share * requests) < 2.0
            if share in (0.0, 1.0):
                assert chosen == share * requests

    @pytest.mark.parametrize("share", [0.5, 0.2, 0.05])
    def test_repeating_requests(self, share):
        """Guards against a pattern that keeps a route on the old version."""
        split = VersionSplit(share, random.Random(5))
        period = round(1.0 / share)
        chosen = [0] * period
        for index in range(400 * period):
            chosen[index % period] += split.choose()
        assert min(chosen) > 0.5 * 400 * share

    def test_phase(self):
        """Guards against nodes that all reach the new version at once."""
        first = [
            next(index for index in range(200) if split.choose())
            for split in (
                VersionSplit(0.01, random.Random(seed)) for seed in range(300)
            )
        ]
        assert sum(index < 50 for index in first) in range(110, 190)
