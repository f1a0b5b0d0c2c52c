"""Tests of the usage of another failure domain."""

from hypothesis import given
from hypothesis import strategies as st
from vanillamast_sidecar.usage.remote_usage import QUIET_S, RemoteUsage
from vanillamast_sidecar.usage.usage_counts import UsageCounts


def counts(complete, asked, admitted=0):
    """Returns the sums of one organisation."""
    return UsageCounts(complete, [(1, asked, admitted)])


class TestRemoteUsage:
    """Each request counts once."""

    def test_two_hubs_of_a_domain_count_once(self):
        """Guards against a doubled usage of each remote domain."""
        remote = RemoteUsage(0.0)
        remote.handle_usage("a", 1, UsageCounts(True, []), 0.0)
        remote.handle_usage("b", 1, counts(True, 500), 0.0)
        for step in range(1, 11):
            now = step * 0.1
            remote.handle_usage("a", 1, counts(False, 10 * step), now)
            remote.handle_usage("b", 1, counts(False, 500 + 10 * step), now)
        assert remote.totals[1] == (100, 0)

    def test_a_restarted_hub_goes_on_from_the_known_sums(self):
        """Guards against sums that begin at zero and are taken for usage."""
        remote = RemoteUsage(0.0)
        remote.handle_usage("a", 1, UsageCounts(True, []), 0.0)
        remote.handle_usage("a", 1, counts(False, 100), 0.1)
        remote.handle_usage("a", 2, counts(True, 7), 0.2)
        remote.handle_usage("a", 2, counts(False, 17), 0.3)
        assert remote.totals[1] == (110, 0)

    def test_a_silent_domain_is_quiet_only_while_it_was_active(self):
        """Guards against domains at rest that are taken for cut off."""
        remote = RemoteUsage(0.0)
        remote.handle_usage("a", 1, counts(True, 5), 0.0)
        assert remote.is_quiet(QUIET_S + 0.1)
        remote.handle_usage("a", 1, UsageCounts(False, []), 2.9)
        assert not remote.is_quiet(60.0)

    def test_a_missing_message_is_no_demand_of_zero(self):
        """Guards against a demand that falls while messages are late."""
        remote = RemoteUsage(0.0)
        remote.handle_usage("a", 1, counts(True, 5), 0.1)
        assert remote.take_increments(0.1).elapsed_s == 0.1
        assert remote.take_increments(0.3) is None

    @given(
        st.lists(
            st.tuples(st.sampled_from("ab"), st.integers(0, 50), st.booleans()),
            max_size=60,
        )
    )
    def test_fuzz_totals_follow_the_domain(self, steps):
        """Guards against usage that is lost or counted twice.

        The oracle is the true sum. Hubs see all of it, from different starts,
        with lost messages on one of two paths and restarts.
        """
        remote = RemoteUsage(0.0)
        truth = 0
        started = {"a": 0, "b": 0}
        incarnations = {"a": 1, "b": 1}
        for hub in "ab":
            remote.handle_usage(hub, 1, UsageCounts(True, []), 0.0)
        for step, (hub, asked, restarts) in enumerate(steps):
            now = 0.01 * (step + 1)
            truth += asked
            for other in "ab":
                seen = counts(False, truth - started[other])
                remote.handle_usage(other, incarnations[other], seen, now)
            if restarts:
                started[hub] = truth
                incarnations[hub] += 1
                empty = UsageCounts(True, [])
                remote.handle_usage(hub, incarnations[hub], empty, now)
            assert remote.totals[1][0] == truth
