"""Tests of the estimated delay of messages."""

from vanillamast_sidecar.mesh.clock_offset import ClockOffset


class TestClockOffset:
    """Delays by the sender's clock, whose offset is unknown."""

    def test_a_delayed_message_shows_its_delay(self):
        """Guards against running calls given up during a network partition."""
        clock = ClockOffset()
        for step in range(30):
            now = 100.0 + step * 0.1
            assert clock.excess_delay_s(5000.0 + step * 0.1, now) < 0.01
        assert clock.excess_delay_s(5003.0, 108.5) > 5.0

    def test_a_clock_shift_expires(self):
        """Guards against refusing all calls of a once suspended sender."""
        clock = ClockOffset()
        clock.excess_delay_s(0.0, 10.0)
        for step in range(100):
            delay_s = clock.excess_delay_s(step * 0.1, 15.0 + step * 0.1)
        assert delay_s < 0.01
