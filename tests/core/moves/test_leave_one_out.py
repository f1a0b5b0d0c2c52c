"""Tests of the leave-one-out e-processes against their definition."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_core.moves import OTHERS
from vanillamast_core.moves import leave_one_out as leave_one_out_module
from vanillamast_core.moves.change_point_mixture import change_point_weight
from vanillamast_core.moves.leave_one_out import (
    InstanceCounts,
    LeaveOneOutTest,
    StratumCounts,
    stratum_ratios,
)
from vanillamast_core.moves.regression_evidence import conditional_log_ratios
from vanillamast_core.moves.verdict_tests import RATE_RATIOS

DOMAINS = {"n0": "x", "n1": "y", "n2": "x", OTHERS: OTHERS}

parts = st.builds(
    lambda name, bad, good: InstanceCounts(
        name, DOMAINS[name], bad, bad + good
    ),
    st.sampled_from(sorted(DOMAINS)),
    st.integers(0, 4),
    st.integers(0, 9),
)
strata = st.lists(
    st.tuples(
        st.integers(0, 2),  # Buckets since the last stratum.
        st.integers(0, 4),
        st.integers(1, 20),
        st.lists(parts, min_size=1, max_size=4, unique_by=lambda p: p[0]),
    ),
    max_size=6,
)


def e_value_by_definition(all_counts, removed):
    """Returns the e-value without some instances, by its definition."""
    periods = []
    for counts in all_counts:
        if not periods or counts.bucket > periods[-1]:
            periods.append(counts.bucket)
    value = 1.0 - sum(change_point_weight(i + 1) for i in range(len(periods)))
    for index, start in enumerate(periods, start=1):
        for ratio in RATE_RATIOS:
            likelihood = 1.0
            for counts in all_counts:
                kept = [
                    p for p in counts.instances if p.instance not in removed
                ]
                total = sum(part.total for part in kept)
                bad = sum(part.bad for part in kept)
                if counts.bucket >= start:
                    share = total / (total + counts.old_total)
                    likelihood *= ratio**bad / (1 - share + ratio * share) ** (
                        bad + counts.old_bad
                    )
            value += change_point_weight(index) * likelihood / len(RATE_RATIOS)
    return value


def smallest_e_value(all_counts):
    """Returns the smallest e-value over all parts left out."""
    seen = {p.instance for c in all_counts for p in c.instances} - {OTHERS}
    domains = {DOMAINS[name] for name in seen}
    removals = [{OTHERS}, *({OTHERS, name} for name in seen)]
    if len(domains) > 1:
        for domain in domains:
            gone = {name for name in seen if DOMAINS[name] == domain}
            removals.append({OTHERS} | gone)
    return min(
        e_value_by_definition(all_counts, removed) for removed in removals
    )


def to_counts(drawn):
    """Returns the drawn strata with their buckets."""
    result, bucket = [], 0
    for step, old_bad, old_good, drawn_parts in drawn:
        bucket += step
        result.append(
            StratumCounts(bucket, old_bad, old_bad + old_good, drawn_parts)
        )
    return result


class TestLeaveOneOut:
    """The incremental e-value equals its definition."""

    def check(self, drawn):
        """Compares the incremental e-value with its definition."""
        e_process = LeaveOneOutTest(len(RATE_RATIOS))
        all_counts = to_counts(drawn)
        for counts in all_counts:
            log_ratios = conditional_log_ratios(counts, RATE_RATIOS, 1.0)
            e_process.add_stratum(counts, stratum_ratios(counts, log_ratios))
        found = e_process.e_value(sole_instance=False)
        assert math.isclose(found, smallest_e_value(all_counts), rel_tol=1e-9)
        whole = e_process.e_value(sole_instance=True)
        assert math.isclose(
            whole, e_value_by_definition(all_counts, set()), rel_tol=1e-9
        )

    @given(strata)
    def test_fuzz(self, drawn):
        """Guards against wrong e-values, as when a part appears late."""
        self.check(drawn)

    def test_variant(self, monkeypatch):
        """Guards against a comparison that misses a difference.

        The variant drops the earlier evidence for a part that appears late.
        """
        monkeypatch.setattr(
            LeaveOneOutTest,
            "track_parts",
            lambda self, parts: [
                self.without_instance.setdefault(
                    part.instance,
                    leave_one_out_module.ChangePointMixture(
                        [0.0] * len(RATE_RATIOS)
                    ),
                )
                for part in parts
                if part.instance != OTHERS
            ],
        )
        drawn = [
            (1, 0, 20, [InstanceCounts("n0", "x", 4, 9)]),
            (1, 0, 20, [InstanceCounts("n1", "y", 4, 9)]),
            (1, 0, 20, [InstanceCounts("n2", "x", 4, 9)]),
        ]
        with pytest.raises(AssertionError):
            self.check(drawn)
