"""Tests of UUID version 7."""

import random
import uuid

from hypothesis import given
from hypothesis import strategies as st
from vanillamast_testing import uuid7


class TestUuid7:
    """The layout of RFC 9562, section 5.7."""

    @given(st.integers(0, 2**48 - 1), st.randoms(use_true_random=False))
    def test_layout(self, milliseconds: int, rng: random.Random):
        """Guards against a key whose time a node would misread."""
        value = uuid7(milliseconds / 1000, rng)
        assert value.version == 7
        assert value.variant == uuid.RFC_4122
        assert abs((value.int >> 80) - milliseconds) <= 1
