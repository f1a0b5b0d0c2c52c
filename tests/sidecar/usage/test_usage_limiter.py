"""Tests of the admission on the first hop."""

import pytest
from vanillamast_sidecar.usage.organisation_id import compute_organisation_id
from vanillamast_sidecar.usage.usage_limiter import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    SHARES_LIFETIME_S,
    UsageLimiter,
)
from vanillamast_sidecar.usage.usage_shares import SHARE_UNITS, UsageShares

from tests.sidecar.usage.fleet_model import BOUNDS, organisation

ACME = organisation(100.0, 50.0)
NUMBER = compute_organisation_id("acme")


def make_limiter(address="10.0.0.1:1"):
    """Returns a limiter that hears a hub."""
    limiter = UsageLimiter(address, BOUNDS)
    report(limiter, 0.0)
    return limiter


def report(limiter, now, share=None):
    """Applies a report of a hub."""
    shares = [] if share is None else [(NUMBER, int(share * SHARE_UNITS))]
    limiter.apply_shares(UsageShares(True, shares), now)


def count_admitted(limiter, requests, start, interval_s, connected=True):
    """Sends requests; returns how many are admitted."""
    admitted = 0
    for number in range(requests):
        now = start + number * interval_s
        if connected:
            limiter.heard_at = now
        admitted += limiter.admit(ACME, now) is None
    return admitted


class TestShares:
    """The share of a report is admitted evenly."""

    def test_the_share_of_requests_is_admitted(self):
        """Guards against shares that admit too much or too little."""
        limiter = make_limiter()
        report(limiter, 10.0, 0.3)
        assert count_admitted(limiter, 1000, 10.0, 0.01) in (299, 300, 301)

    def test_nodes_with_few_requests_admit_the_share_together(self):
        """Guards against nodes that all refuse their first requests."""
        admitted = 0
        for number in range(200):
            limiter = make_limiter(f"10.0.0.{number}:1")
            report(limiter, 10.0, 0.3)
            admitted += count_admitted(limiter, 2, 10.0, 0.1)
        assert 90 < admitted < 150

    def test_the_own_bucket_holds_without_a_share(self):
        """Guards against a burst on one node that the hubs see too late."""
        limiter = make_limiter()
        admitted = count_admitted(limiter, 5000, 10.0, 0.001)
        assert admitted <= (100.0 * 5 + 50.0) * 1.1

    def test_organisations_without_a_cap_are_never_refused(self):
        """Guards against a rate of zero that is taken for a cap."""
        limiter = make_limiter()
        free = organisation(0.0, 0.0)
        assert all(limiter.admit(free, 0.0) is None for _ in range(1000))
        assert not limiter.accounts


class TestWithoutHubs:
    """A node that hears no hub uses a part of the cap."""

    def test_a_cut_off_node_goes_on_with_its_last_part(self):
        """Guards against a full cap on each side of a partition."""
        limiter = make_limiter()
        count_admitted(limiter, 400, 0.0, 0.05)
        start = 20.0 + SHARES_LIFETIME_S
        limiter.heard_at = 20.0
        admitted = count_admitted(limiter, 4000, start + 0.1, 0.005, False)
        assert 18 * 20 < admitted < 27 * 20

    def test_a_node_that_never_heard_a_hub_uses_a_small_part(self):
        """Guards against a fleet whose restarted nodes each use a full cap."""
        limiter = UsageLimiter("10.0.0.1:1", BOUNDS)
        limiter.nodes = 70
        assert count_admitted(limiter, 500, 0.0, 0.01, False) <= 8

    def test_a_hub_that_has_just_started_does_not_count(self):
        """Guards against hubs that release everything before they can judge."""
        limiter = UsageLimiter("10.0.0.1:1", BOUNDS)
        limiter.apply_shares(UsageShares(False, []), 0.0)
        assert not limiter.is_connected(0.0)


class TestCounts:
    """What the hubs are told."""

    def test_only_changed_counts_are_sent_again(self):
        """Guards against heartbeats that grow with known organisations."""
        limiter = make_limiter()
        limiter.admit(ACME, 0.0)
        first = limiter.make_counts("hub", "connection")
        assert first.complete and first.entries == [(NUMBER, 1, 1)]
        assert limiter.make_counts("hub", "connection") is None
        limiter.admit(ACME, 0.1)
        again = limiter.make_counts("hub", "connection")
        assert not again.complete and again.entries == [(NUMBER, 2, 2)]

    def test_a_new_connection_gets_all_counts(self):
        """Guards against counts that were lost with a connection."""
        limiter = make_limiter()
        limiter.admit(ACME, 0.0)
        limiter.make_counts("hub", "connection")
        assert limiter.make_counts("hub", "other").complete

    def test_requests_that_did_not_run_are_given_back(self):
        """Guards against refusals of servers that use up a cap."""
        limiter = make_limiter()
        limiter.admit(ACME, 0.0)
        limiter.give_back(ACME)
        assert limiter.make_counts("hub", "c").entries == [(NUMBER, 1, 0)]


class TestRetryAfter:
    """Refused requests are told when there will be room."""

    def test_refused_requests_return_one_after_the_other(self):
        """Guards against refused callers that all return at once."""
        limiter = make_limiter()
        report(limiter, 10.0, 0.0)
        waits = [limiter.admit(ACME, 10.0) for _ in range(3)]
        assert waits[0] >= MIN_RETRY_AFTER_S
        assert max(waits) <= MAX_RETRY_AFTER_S
        report(limiter, 20.0, 0.5)
        times = []
        for number in range(1600):
            now = limiter.heard_at = 20.0 + number * 0.005
            wait_s = limiter.admit(ACME, now)
            if wait_s is not None:
                times.append(now + wait_s)
        assert times == sorted(times)
        # Twice as many are asked for as are admitted, 100 a second.
        assert times[-1] - times[-201] == pytest.approx(2.0, rel=0.2)
