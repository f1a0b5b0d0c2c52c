"""Tests of the evidence with parts left out, against a direct sum."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_core.moves import OTHERS
from vanillamast_core.moves import contrast as contrast_module
from vanillamast_core.moves.accusation import split_log_ratios
from vanillamast_core.moves.change_mixture import onset_weight
from vanillamast_core.moves.contrast import (
    Contrast,
    Counts,
    PartCount,
    to_all_factors,
)
from vanillamast_core.moves.verdict_tests import RATIOS

DOMAINS = {"n0": "x", "n1": "y", "n2": "x", OTHERS: OTHERS}

parts = st.builds(
    lambda name, bad, good: PartCount(name, DOMAINS[name], bad, bad + good),
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


def direct(all_counts, removed):
    """Returns the evidence without some instances, by its definition."""
    periods = []
    for counts in all_counts:
        if not periods or counts.bucket > periods[-1]:
            periods.append(counts.bucket)
    value = 1.0 - sum(onset_weight(i + 1) for i in range(len(periods)))
    for index, start in enumerate(periods, start=1):
        for ratio in RATIOS:
            likelihood = 1.0
            for counts in all_counts:
                kept = [p for p in counts.parts if p.instance not in removed]
                total = sum(part.total for part in kept)
                bad = sum(part.bad for part in kept)
                if counts.bucket >= start:
                    share = total / (total + counts.old_total)
                    likelihood *= ratio**bad / (1 - share + ratio * share) ** (
                        bad + counts.old_bad
                    )
            value += onset_weight(index) * likelihood / len(RATIOS)
    return value


def oracle(all_counts):
    """Returns the smallest evidence over all parts left out."""
    seen = {p.instance for c in all_counts for p in c.parts} - {OTHERS}
    domains = {DOMAINS[name] for name in seen}
    removals = [{OTHERS}, *({OTHERS, name} for name in seen)]
    if len(domains) > 1:
        for domain in domains:
            gone = {name for name in seen if DOMAINS[name] == domain}
            removals.append({OTHERS} | gone)
    return min(direct(all_counts, removed) for removed in removals)


def counts_of(drawn):
    """Returns the drawn strata with their buckets."""
    result, bucket = [], 0
    for step, old_bad, old_good, drawn_parts in drawn:
        bucket += step
        result.append(Counts(bucket, old_bad, old_bad + old_good, drawn_parts))
    return result


class TestContrast:
    """The incremental evidence equals its definition."""

    def check(self, drawn):
        """Compares a contrast with the oracle."""
        contrast = Contrast(len(RATIOS))
        all_counts = counts_of(drawn)
        for counts in all_counts:
            log_ratios = split_log_ratios(counts, RATIOS, 1.0)
            contrast.apply(counts, to_all_factors(counts, log_ratios))
        found = contrast.e_value(sole_instance=False)
        assert math.isclose(found, oracle(all_counts), rel_tol=1e-9)
        whole = contrast.e_value(sole_instance=True)
        assert math.isclose(whole, direct(all_counts, set()), rel_tol=1e-9)

    @given(strata)
    def test_fuzz(self, drawn):
        """Guards against parts left out wrongly, as when one appears late."""
        self.check(drawn)

    def test_variant(self, monkeypatch):
        """Guards against a comparison that sees no difference.

        The variant starts a part that appears late without the evidence that
        was there before it.
        """
        monkeypatch.setattr(
            Contrast,
            "know",
            lambda self, parts: [
                self.instances.setdefault(
                    part.instance,
                    contrast_module.ChangeMixture([0.0] * len(RATIOS)),
                )
                for part in parts
                if part.instance != OTHERS
            ],
        )
        drawn = [
            (1, 0, 20, [PartCount("n0", "x", 4, 9)]),
            (1, 0, 20, [PartCount("n1", "y", 4, 9)]),
            (1, 0, 20, [PartCount("n2", "x", 4, 9)]),
        ]
        with pytest.raises(AssertionError):
            self.check(drawn)
