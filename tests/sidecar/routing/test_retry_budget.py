"""Tests of the retry budget."""

import random

from vanillamast_sidecar.routing.retry_budget import RetryBudget


class TestRetryBudget:
    """Retries within a sliding window."""

    def test_no_window_exceeds_ratio_and_allowance(self):
        """Guards against retry bursts across the boundary of two windows."""
        rng = random.Random(7)
        budget = RetryBudget(0.2, 5.0, 10.0)
        first_attempts, retries = [], []
        now = 0.0
        for _ in range(4000):
            now += rng.expovariate(60.0)
            budget.count_request(now)
            first_attempts.append(now)
            if rng.random() < 0.7 and budget.try_acquire(now):
                retries.append(now)
        for end in retries:
            taken = sum(end - 10.0 <= at <= end for at in retries)
            sent = sum(end - 10.0 <= at <= end for at in first_attempts)
            assert taken <= 0.2 * sent + 5.0 + 1e-9

    def test_an_idle_budget_has_only_its_allowance(self):
        """Guards against a node that retries without traffic of its own."""
        budget = RetryBudget(0.2, 2.0, 10.0)
        assert [budget.try_acquire(1.0) for _ in range(4)] == [
            True,
            True,
            False,
            False,
        ]
        assert budget.try_acquire(11.5)
