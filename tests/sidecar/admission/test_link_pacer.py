"""Tests of the pace of long responses."""

import pytest
from vanillamast_sidecar.admission.link_pacer import USED_SHARE, LinkPacer

SIZE = 100_000
SECONDS = SIZE * 8 / (USED_SHARE * 16e6)  # On a link of 16 Mbit/s.


class TestLinkPacer:
    """Responses start when the link has carried those before."""

    def test_the_first_one_is_sent_at_once(self):
        """Guards against a wait on an idle link."""
        assert LinkPacer(16.0).reserve(SIZE, 5.0) == 0.0

    def test_the_next_ones_take_turns(self):
        """Guards against responses that pile up and delay pings."""
        pacer = LinkPacer(16.0)
        delays = [pacer.reserve(SIZE, 5.0) for _ in range(3)]
        assert delays == pytest.approx([0.0, SECONDS, 2 * SECONDS])

    def test_a_pause_earns_nothing(self):
        """Guards against a burst after a pause."""
        pacer = LinkPacer(16.0)
        pacer.reserve(SIZE, 5.0)
        assert pacer.reserve(SIZE, 60.0) == 0.0
        assert pacer.reserve(SIZE, 60.0) == pytest.approx(SECONDS)

    def test_an_unknown_bandwidth_limits_nothing(self):
        """Guards against downloads that never start."""
        pacer = LinkPacer(0.0)
        assert [pacer.reserve(SIZE, 5.0) for _ in range(9)] == [0.0] * 9
