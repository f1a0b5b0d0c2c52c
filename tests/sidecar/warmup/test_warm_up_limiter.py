"""Tests of the rate of requests to a server that is cold."""

import math

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st
from vanillamast_sidecar.admission.admission_queue import AdmissionQueue
from vanillamast_sidecar.operator_state.snapshot import WarmUp
from vanillamast_sidecar.settings import Bounds
from vanillamast_sidecar.warmup.warm_up_limiter import WarmUpLimiter

BOUNDS = Bounds(2.0, 6.0, 2.0, 0.2, 10.0, 60.0, 0.1, 50.0, 5.0)
COLD_S = 20.0
STEP_S = 0.01


def bound(rate_per_s):
    """Returns how many requests a cold server may receive in a second."""
    return BOUNDS.cold_over * rate_per_s + BOUNDS.cold_slack


def cold(rate_per_s, now=0.0, limiter=None):
    """Returns a limiter of a server that turns cold."""
    limiter = limiter or WarmUpLimiter(BOUNDS)
    limiter.update(WarmUp(COLD_S, rate_per_s), now + COLD_S, now)
    return limiter


def send_for(limiter, start, seconds):
    """Sends as much as is allowed; returns when."""
    times = []
    for step in range(round(seconds / STEP_S)):
        now = start + step * STEP_S
        while limiter.may_admit(0, now):
            limiter.admit(now)
            limiter.record_sent(now)
            times.append(now)
            if not limiter.is_limiting(now):
                break
    return times


class TestWarmUpLimiter:
    """A cold server gets its warm-up rate and no more."""

    @pytest.mark.parametrize("rate_per_s", [0.5, 2.0, 7.0, 40.0, 300.0])
    def test_a_saturated_cold_server_gets_its_rate(self, rate_per_s):
        """Guards against refusals below the rate, and bursts above it."""
        times = send_for(cold(rate_per_s), 0.0, COLD_S - 1.0)
        expected = rate_per_s * (COLD_S - 1.0)
        assert 0.95 * expected - 1 <= len(times) <= expected + 1
        most = max(
            sum(first <= at <= first + 1.0 for at in times) for first in times
        )
        assert most <= 1.3 * rate_per_s + 2
        assert most < bound(rate_per_s)

    def test_requests_sent_before_it_turned_cold_count(self):
        """Guards against a burst across the moment that it turns cold."""
        limiter = WarmUpLimiter(BOUNDS)
        limiter.update(WarmUp(COLD_S, 7.0), 0.0, 0.0)
        for number in range(40):
            limiter.record_sent(5.0 + number * 0.01)
        cold(7.0, 5.4, limiter)
        delay_s = limiter.delay_s(0, 0, 5.4)
        times = send_for(limiter, 5.4, 3.0)
        assert times[0] > 6.4
        assert times[0] == pytest.approx(5.4 + delay_s, abs=2 * STEP_S)

    def test_a_pause_earns_only_a_small_burst(self):
        """Guards against a cold server that gets a large burst."""
        limiter = cold(100.0)
        times = [at for at in send_for(limiter, 10.0, 0.02) if at == 10.0]
        assert 1 <= len(times) <= 25

    def test_nothing_is_limited_without_a_rate(self):
        """Guards against a change for deployments without warm-up rates."""
        limiter = WarmUpLimiter(BOUNDS)
        assert not limiter.update(None, 100.0, 0.0)
        for _ in range(1000):
            assert limiter.may_admit(1000, 1.0)
            limiter.admit(1.0)
            limiter.record_sent(1.0)
        assert limiter.delay_s(1000, 50, 1.0) == 0.0
        assert not limiter.sent

    def test_a_later_configuration_applies(self):
        """Guards against a node that started without the rate."""
        limiter = WarmUpLimiter(BOUNDS)
        limiter.update(None, COLD_S, 0.0)
        assert limiter.update(WarmUp(COLD_S, 7.0), COLD_S, 1.0)
        assert len(send_for(limiter, 1.0, 2.0)) <= 14

    def test_the_end_and_a_new_cold_time_are_reported(self):
        """Guards against a limit that the log does not show."""
        limiter = cold(7.0)
        warm_up = WarmUp(COLD_S, 7.0)
        assert not limiter.update(warm_up, COLD_S + 0.5, 10.0)
        assert limiter.update(warm_up, 0.0, COLD_S + 1.0)
        assert limiter.update(warm_up, COLD_S + 9.0, COLD_S + 2.0)

    def test_no_wait_exceeds_the_cold_time(self):
        """Guards against refusals of requests that a warm server can take."""
        assert cold(0.5).delay_s(0, 50, COLD_S - 1.0) <= 1.0


class WarmUpMachine(stateful.RuleBasedStateMachine):
    """A server's queue; a list of all sent requests is the oracle."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.rate = 7.0
        self.cold_until = 0.0
        self.queue = AdmissionQueue(64, WarmUpLimiter(BOUNDS))
        self.update()
        self.sent: list[float] = []

    def update(self):
        """Applies the cold time and the configuration."""
        self.queue.warm_up.update(
            WarmUp(COLD_S, self.rate), self.cold_until, self.now
        )

    @stateful.rule(seconds=st.sampled_from([0.001, 0.05, 0.3, 1.0, 4.0]))
    def wait(self, seconds: float):
        """Lets time pass."""
        self.now += seconds

    @stateful.rule(seconds=st.sampled_from([0.0, 0.2, 3.0, COLD_S]))
    def heartbeat(self, seconds: float):
        """A heartbeat states how long the server is cold."""
        self.cold_until = self.now + seconds
        self.update()

    @stateful.rule(rate=st.sampled_from([0.5, 7.0, 30.0]))
    def publish(self, rate: float):
        """The operator changes the rate."""
        self.rate = rate
        self.update()

    @stateful.rule(count=st.integers(1, 40))
    def admit(self, count: int):
        """Requests arrive; those that get no slot are refused."""
        for _ in range(count):
            self.queue.try_acquire_slot(self.now)

    @stateful.rule(count=st.integers(1, 40))
    def send(self, count: int):
        """Admitted requests are sent, some time after their admission."""
        for _ in range(min(count, self.queue.unsent)):
            if not self.queue.may_send(self.now):
                self.queue.release_slot(sent=False)
                continue
            self.queue.begin_send(self.now)
            self.sent.append(self.now)
            if self.now < self.cold_until:
                recent = sum(at > self.now - 1.0 for at in self.sent)
                assert recent <= math.floor(bound(self.rate))

    @stateful.rule(count=st.integers(1, 40))
    def end(self, count: int):
        """Requests end at the server."""
        for _ in range(min(count, self.queue.at_server)):
            self.queue.end_send()
            self.queue.release_slot()

    @stateful.precondition(lambda self: not self.queue.unsent)
    @stateful.precondition(lambda self: self.queue.running < self.queue.slots)
    @stateful.rule()
    def wait_for_the_rate(self):
        """The expected wait is when the next request is admitted."""
        delay_s = self.queue.rate_delay_s(self.now)
        assert delay_s <= max(0.0, self.cold_until - self.now)
        self.now += delay_s + 1e-6
        assert self.queue.try_acquire_slot(self.now)

    @stateful.invariant()
    def counts_match(self):
        """No request is counted twice or lost."""
        assert 0 <= self.queue.at_server <= self.queue.running <= 64


class TestFuzz:
    """Any order of arrivals, sends, heartbeats and configurations."""

    def test_warm_up_fuzz(self):
        """Guards against a second in which a cold server gets too much."""
        stateful.run_state_machine_as_test(
            WarmUpMachine,
            settings=hypothesis.settings(
                max_examples=150, stateful_step_count=40
            ),
        )
