"""Tests of the rate of requests to a server that names a limit."""

import bisect
import random

import pytest
from vanillamast_sidecar.admission.rate_limiter import (
    LIMIT_HOLD_S,
    MIN_RATE_PER_S,
    RateLimiter,
)

WINDOW_S = 4.0
STEP_S = 0.01


def limited(limit, now=0.0):
    """Returns a limiter to which a response has named a limit."""
    limiter = RateLimiter()
    limiter.apply_limit(limit, now)
    return limiter


def sent_at(limiter, times):
    """Returns the times at which a request could be sent."""
    return [now for now in times if limiter.try_acquire(now)]


def most_in_window(times):
    """Returns the most requests within `WINDOW_S`."""
    return max(
        bisect.bisect_left(times, first + WINDOW_S) - position
        for position, first in enumerate(times)
    )


class TestRateLimiter:
    """Requests are spread over time as the server asks."""

    @pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 18.6, 400.0])
    def test_no_window_exceeds_the_limit(self, limit):
        """Guards against bursts that add up to more than the limit."""
        rng = random.Random(1)
        limiter = limited(limit)
        times = []
        now = 0.0
        while now < 60.0:
            # Callers press for some time, then pause.
            now += STEP_S if rng.random() < 0.999 else rng.random() * 5.0
            while limiter.try_acquire(now):
                times.append(now)
                if rng.random() < 0.05:
                    limiter.give_back()
                    times.pop()
        assert most_in_window(times) <= 1.5 * WINDOW_S * limit + 5
        assert len(times) >= 10

    def test_without_a_limit_every_request_is_sent(self):
        """Guards against a limiter that holds sound servers back."""
        limiter = RateLimiter()
        assert len(sent_at(limiter, [0.0] * 1000)) == 1000
        assert limiter.delay_s(0.0, 50) == 0.0

    def test_a_limit_starts_without_a_burst(self):
        """Guards against more requests when a server asks for fewer."""
        limiter = limited(10.0, now=100.0)
        assert sent_at(limiter, [100.0] * 50) == []
        assert limiter.delay_s(100.0) == pytest.approx(0.1)

    def test_a_limit_that_alternates_gives_no_extra_requests(self):
        """Guards against a server that changes its limit all the time."""
        limiter = limited(20.0)
        times = []
        for step in range(2000):
            now = step * STEP_S
            limiter.apply_limit(20.0 + step % 2, now)
            if limiter.try_acquire(now):
                times.append(now)
        assert most_in_window(times) <= WINDOW_S * 21.0 * 1.2

    def test_a_limit_of_zero_still_allows_some_requests(self):
        """Guards against a server that can never lift its limit."""
        limiter = limited(0.0)
        sent = sent_at(limiter, [step * 0.1 for step in range(201)])
        assert len(sent) == pytest.approx(20 * MIN_RATE_PER_S, abs=1)

    def test_a_response_without_a_limit_ends_it(self):
        """Guards against a server that is held back for ever."""
        limiter = limited(1.0)
        assert not limiter.apply_limit(None, LIMIT_HOLD_S / 2)
        assert limiter.limit_per_s == 1.0
        assert limiter.apply_limit(None, LIMIT_HOLD_S + 0.01)
        assert limiter.limit_per_s is None

    def test_the_delay_is_when_the_request_is_sent(self):
        """Guards against requests admitted although they will be late."""
        limiter = limited(5.0)
        for ahead in range(8):
            delay_s = limiter.delay_s(0.0, ahead)
            assert delay_s == pytest.approx((ahead + 1) / 5.0)
