"""Tests of the verdict on a new version."""

import random

import pytest
from vanillamast_sidecar.rollouts.version_evidence import (
    VersionEvidence,
    merge_evidence,
)
from vanillamast_sidecar.rollouts.version_judge import judge


def evidence(
    count: int,
    seed: int,
    failed_share: float = 0.0,
    slow_share: float = 0.0,
    speeds: tuple[float, ...] = (0.5, 1.0, 1.0, 1.5),
    route: str = "page",
) -> VersionEvidence:
    """Returns outcomes of servers of different speeds."""
    rng = random.Random(seed)
    outcomes = VersionEvidence("v", {})
    for _ in range(count):
        duration = rng.lognormvariate(0.0, 0.5) * 0.12 / rng.choice(speeds)
        if rng.random() < slow_share:
            duration *= 8.0
        outcomes.add(route, rng.random() < failed_share, duration)
    return outcomes


class TestVersionJudge:
    """Regressions are found after few answers, without false alarms."""

    @pytest.mark.parametrize("seed", range(20))
    @pytest.mark.parametrize(
        ("failed_share", "slow_share"),
        [(0.5, 0.0), (0.35, 0.0), (0.0, 0.5), (0.0, 0.35)],
    )
    def test_a_failing_version_is_found_within_sixty_answers(
        self, failed_share, slow_share, seed
    ):
        """Guards against a failing version that keeps its traffic."""
        old = merge_evidence([evidence(600, seed)])
        new = merge_evidence(
            [evidence(60, 1000 + seed, failed_share, slow_share)]
        )
        assert judge(old, new) is not None

    @pytest.mark.parametrize("seed", range(60))
    def test_a_good_version_passes(self, seed):
        """Guards against the rollback of good versions."""
        for count in (10, 20, 40, 80, 160, 320):
            old = merge_evidence([evidence(count * 10, seed)])
            new = merge_evidence([evidence(count, 5000 + seed)])
            assert judge(old, new) is None

    def test_one_failing_route_is_enough(self):
        """Guards against a regression that other routes hide."""
        old = merge_evidence([evidence(500, 1), evidence(500, 2, route="post")])
        new = merge_evidence(
            [evidence(200, 3), evidence(40, 4, failed_share=0.5, route="post")]
        )
        assert judge(old, new).route == "post"

    def test_failures_of_both_versions_are_no_regression(self):
        """Guards against a verdict because of a failing shared dependency."""
        old = merge_evidence([evidence(500, 1, failed_share=0.4)])
        new = merge_evidence([evidence(80, 2, failed_share=0.4)])
        assert judge(old, new) is None

    def test_a_few_failures_are_no_regression(self):
        """Guards against a verdict on random failures."""
        new = VersionEvidence("v", {})
        for _ in range(4):
            new.add("page", True, 0.1)
        assert (
            judge(merge_evidence([evidence(500, 1)]), merge_evidence([new]))
            is None
        )
