"""Compares a new version with the old one under the same traffic."""

import dataclasses
import math

from vanillamast_sidecar.rollouts.version_evidence import (
    BIN_COUNT,
    BINS_PER_OCTAVE,
    RouteEvidence,
)

MIN_SAMPLES = 10  # Answers needed before a version can be judged.
MIN_BAD_ANSWERS = 5  # Single failures are no proof of a regression.
# Standard scores from which on a difference counts as significant. Chance
# exceeds the first in one of 30,000 checks; a move has some hundred checks.
ERROR_Z_SCORE = 4.0
SLOW_Z_SCORE = 3.5
MIN_ERROR_EXCESS = 0.1  # A smaller excess in the failed share is tolerated.
# An answer is slow beyond a multiple of the old version's median: pairs of
# the multiple and the excess in the slow share that counts as a regression.
# Servers of one version differ in speed by a factor of up to three, which
# accounts for less than these excesses.
SLOWNESS_TESTS = ((3.5, 0.15), (6.0, 0.08))


@dataclasses.dataclass(slots=True, frozen=True)
class Badness:
    """Evidence that the new version is failing.

    Attributes:
      symptom: "errors" or "slow".
      route: Route that is affected; "*" for all routes together.
      new_bad: Failed or slow answers of the new version.
      new_count: Answers of the new version.
      old_bad: Failed or slow answers of the old version.
      old_count: Answers of the old version.
    """

    symptom: str
    route: str
    new_bad: int
    new_count: int
    old_bad: int
    old_count: int


def judge(
    old: dict[str, RouteEvidence], new: dict[str, RouteEvidence]
) -> Badness | None:
    """Returns the regression of the new version, None if there is none."""
    for route, evidence in new.items():
        baseline = old.get(route, RouteEvidence(0, 0, [0] * BIN_COUNT))
        found = _judge_route(route, baseline, evidence)
        if found is not None:
            return found
    return _judge_errors("*", _total(old), _total(new))


def _judge_route(
    route: str, old: RouteEvidence, new: RouteEvidence
) -> Badness | None:
    return _judge_errors(route, old, new) or _judge_slowness(route, old, new)


def _judge_errors(
    route: str, old: RouteEvidence, new: RouteEvidence
) -> Badness | None:
    candidate = Badness(
        "errors", route, new.errors, new.count, old.errors, old.count
    )
    return (
        candidate
        if _is_significant(candidate, ERROR_Z_SCORE, MIN_ERROR_EXCESS)
        else None
    )


def _judge_slowness(
    route: str, old: RouteEvidence, new: RouteEvidence
) -> Badness | None:
    answered = sum(old.bins)
    if answered < MIN_SAMPLES:
        return None
    median = _median_bin(old.bins)
    for factor, excess in SLOWNESS_TESTS:
        limit = median + round(math.log2(factor) * BINS_PER_OCTAVE)
        candidate = Badness(
            "slow",
            route,
            sum(new.bins[limit + 1 :]) + new.errors,
            new.count,
            sum(old.bins[limit + 1 :]) + old.errors,
            old.count,
        )
        if _is_significant(candidate, SLOW_Z_SCORE, excess):
            return candidate
    return None


def _median_bin(bins: list[int]) -> int:
    half = sum(bins) / 2.0
    seen = 0
    for index, value in enumerate(bins):
        seen += value
        if seen >= half:
            return index
    return BIN_COUNT - 1


def _is_significant(candidate: Badness, score: float, excess: float) -> bool:
    """Returns whether the new version's share of bad answers is higher.

    The difference has to exceed both the excess and the standard score. If the
    old version has fewer than `MIN_SAMPLES` answers, that many bad answers of
    the new version are required instead of the score.
    """
    if candidate.new_count < MIN_SAMPLES or candidate.new_bad < MIN_BAD_ANSWERS:
        return False
    # The added good answer avoids a division by zero without a baseline.
    old_count = candidate.old_count + 1
    new_share = candidate.new_bad / candidate.new_count
    old_share = candidate.old_bad / old_count
    if new_share - old_share < excess:
        return False
    pooled = (candidate.new_bad + candidate.old_bad) / (
        candidate.new_count + old_count
    )
    spread = math.sqrt(
        pooled * (1.0 - pooled) * (1.0 / candidate.new_count + 1.0 / old_count)
    )
    if spread == 0.0:
        return False
    if candidate.old_count < MIN_SAMPLES:
        return candidate.new_bad >= MIN_SAMPLES
    return (new_share - old_share) / spread > score


def _total(routes: dict[str, RouteEvidence]) -> RouteEvidence:
    return RouteEvidence(
        sum(evidence.count for evidence in routes.values()),
        sum(evidence.errors for evidence in routes.values()),
        [],
    )
