"""Combined evidence that the new version of one move is a regression."""

import dataclasses
import math
from collections.abc import Collection

from vanillamast_core.moves.judge_settings import JudgeSettings
from vanillamast_core.moves.leave_one_out import (
    InstanceCounts,
    LeaveOneOutTest,
    LogLikelihoodRatios,
    StratumCounts,
    stratum_ratios,
)
from vanillamast_core.moves.move import Move
from vanillamast_core.moves.stratum import Stratum
from vanillamast_core.moves.verdict_tests import VerdictTest, verdict_tests

ALL_ROUTES = ""  # Route name of the tests that pool all routes.
BASELINE_ALPHA_SHARE = 0.25  # Part of alpha for the tests after share 1.
POOLED_ALPHA_SHARE = 0.5  # Part of the rest for the tests over all routes.
MAX_BUDGETS = 256  # Pairs of bucket and kind; far more than get late cells.
MAX_ALTERNATIVE = 0.95  # Keeps alternatives to a tolerated ratio below 1.


@dataclasses.dataclass(slots=True, frozen=True)
class CombinedEValue:
    """The e-value over all tests of a move.

    Attributes:
      e_value: Weighted sum of the e-values of all tests.
      reason: Kind of bad outcome of the test that adds most.
      route: Route of that test.
    """

    e_value: float
    reason: str = ""
    route: str = ALL_ROUTES


class RegressionEvidence:
    """The tests of one move: each kind, over all routes and on each route.

    The weights of the tests sum to 1, so their weighted sum is an e-process
    and divides alpha over kinds and routes.

    Attributes:
      settings: The settings of the judge.
      tests: Comparison of both versions, by kind and route.
      baseline_tests: Comparison with the baseline after share 1, by kind.
      routes: Routes in order of appearance, which gives their weights.
      log_ratio_budgets: How much a bucket may still add to the log likelihood
        ratio of a kind's baseline test, for each rate ratio.
    """

    def __init__(self, settings: JudgeSettings):
        self.settings = settings
        self.tests: dict[tuple[str, str], LeaveOneOutTest] = {}
        self.baseline_tests: dict[str, LeaveOneOutTest] = {}
        self.routes: list[str] = []
        self.log_ratio_budgets: dict[tuple[str, int], list[float]] = {}

    def copy(self) -> "RegressionEvidence":
        """Returns a copy to which strata of liveness-dependent kinds are added.

        The tests of the other kinds are shared with the original.
        """
        copied = RegressionEvidence(self.settings)
        copied.tests = {
            key: e_process.copy() if depends_on_liveness(key[0]) else e_process
            for key, e_process in self.tests.items()
        }
        copied.baseline_tests = {
            kind: e_process.copy() if depends_on_liveness(kind) else e_process
            for kind, e_process in self.baseline_tests.items()
        }
        copied.routes = list(self.routes)
        copied.log_ratio_budgets = dict(self.log_ratio_budgets)
        return copied

    def add_stratum(
        self,
        stratum: Stratum,
        move: Move,
        dead: Collection[str],
        liveness_dependent: bool,
    ) -> None:
        """Adds a closed stratum.

        Args:
          stratum: The stratum.
          move: The move, for its baseline.
          dead: Instances whose connect failures do not count.
          liveness_dependent: Whether to add it to the kinds that depend on
            liveness, or to the others.
        """
        if stratum.route not in self.routes:
            self.routes.append(stratum.route)
        for kind, test in verdict_tests.entries.items():
            if test.depends_on_liveness is not liveness_dependent:
                continue
            counts = count_stratum(stratum, test, dead)
            if stratum.after_done:
                self.add_baseline_comparison(kind, counts, move)
            else:
                self.add_version_comparison(kind, stratum.route, counts)

    def add_version_comparison(
        self, kind: str, route: str, counts: StratumCounts
    ) -> None:
        """Adds a comparison of both versions.

        Without a bad outcome, or with one version only, the likelihood ratio
        is 1 and nothing is added.
        """
        bad = counts.old_bad + sum(part.bad for part in counts.instances)
        if not bad or not counts.old_total or not counts.instances:
            return
        test = verdict_tests.get(kind)
        log_ratios = conditional_log_ratios(counts, test.ratios, test.margin)
        ratios_by_part = stratum_ratios(counts, log_ratios)
        for name in (ALL_ROUTES, route):
            e_process = self.tests.get((kind, name))
            if e_process is None:
                e_process = LeaveOneOutTest(len(test.ratios))
                self.tests[kind, name] = e_process
            e_process.add_stratum(counts, ratios_by_part)

    def add_baseline_comparison(
        self, kind: str, counts: StratumCounts, move: Move
    ) -> None:
        """Adds a comparison with the baseline.

        The sum that one bucket adds over its strata is capped, so that a short
        disturbance does not decide alone. The cap only lowers the likelihood
        ratio, so the test stays valid.
        """
        if not any(part.total for part in counts.instances):
            return
        ratios = verdict_tests.get(kind).ratios
        e_process = self.baseline_tests.get(kind)
        if e_process is None:
            e_process = LeaveOneOutTest(len(ratios))
            self.baseline_tests[kind] = e_process
        tolerated = self.tolerated_ratio(kind, move)
        budget = self.remaining_budget(kind, counts.bucket)
        log_ratios = baseline_log_ratios(tolerated, budget, ratios)
        e_process.add_stratum(counts, stratum_ratios(counts, log_ratios))
        spent = log_ratios(
            sum(part.bad for part in counts.instances),
            sum(part.total for part in counts.instances),
        )
        self.log_ratio_budgets[kind, counts.bucket] = [
            left - max(gain, 0.0)
            for left, gain in zip(budget, spent, strict=True)
        ]

    def remaining_budget(self, kind: str, bucket: int) -> list[float]:
        """Returns how much a bucket may still add, for each rate ratio."""
        known = self.log_ratio_budgets.get((kind, bucket))
        if known is not None:
            return known
        if len(self.log_ratio_budgets) >= MAX_BUDGETS:
            del self.log_ratio_budgets[next(iter(self.log_ratio_budgets))]
        cap = math.log(self.settings.rejection_threshold / BASELINE_ALPHA_SHARE)
        ratios = verdict_tests.get(kind).ratios
        return [cap / self.settings.done_buckets] * len(ratios)

    def tolerated_ratio(self, kind: str, move: Move) -> float:
        """Returns the ratio of bad outcomes that is tolerated after share 1."""
        if kind == "slow_answers":
            return self.settings.done_slow_share
        return max(
            self.settings.done_floor,
            self.settings.done_factor * move.baseline_failure_ratio,
        )

    def combined_e_value(self, sole_instance: bool) -> CombinedEValue:
        """Returns the weighted sum of all tests and the test that adds most."""
        total = 1.0
        strongest = (0.0, "", ALL_ROUTES)
        for (kind, route), e_process in self.tests.items():
            gain = self.weight_of(route) * (
                e_process.e_value(sole_instance) - 1.0
            )
            total += gain
            strongest = max(strongest, (gain, kind, route))
        baseline_weight = BASELINE_ALPHA_SHARE / len(verdict_tests)
        for kind, e_process in self.baseline_tests.items():
            gain = baseline_weight * (e_process.e_value(sole_instance) - 1.0)
            total += gain
            strongest = max(strongest, (gain, kind, ALL_ROUTES))
        return CombinedEValue(total, strongest[1], strongest[2])

    def weight_of(self, route: str) -> float:
        """Returns the weight of each kind's test on a route."""
        kind_share = (1.0 - BASELINE_ALPHA_SHARE) / len(verdict_tests)
        if route == ALL_ROUTES:
            return kind_share * POOLED_ALPHA_SHARE
        rank = self.routes.index(route) + 1
        return kind_share * (1.0 - POOLED_ALPHA_SHARE) / (rank * (rank + 1))


def needs_liveness(stratum: Stratum) -> bool:
    """Returns whether a stratum counts for a kind that depends on liveness.

    While both versions have traffic, a stratum without a bad outcome changes
    nothing, and excluding dead instances only lowers the counts.
    """
    if stratum.after_done:
        return True
    for test in verdict_tests.entries.values():
        if test.depends_on_liveness:
            counts = count_stratum(stratum, test, ())
            if counts.old_bad or any(part.bad for part in counts.instances):
                return True
    return False


def depends_on_liveness(kind: str) -> bool:
    """Returns whether a kind's count depends on which instances are dead."""
    return verdict_tests.get(kind).depends_on_liveness


def count_stratum(
    stratum: Stratum, test: VerdictTest, dead: Collection[str]
) -> StratumCounts:
    """Returns the counts of one kind in a stratum."""
    old_bad, old_total = 0, 0
    if stratum.old is not None:
        old_bad, old_total = test.count(stratum.old, stratum.slow_bin, False)
    parts = [
        InstanceCounts(
            name,
            cell.server_domain,
            *test.count(cell, stratum.slow_bin, name in dead),
        )
        for name, cell in stratum.new.items()
    ]
    return StratumCounts(stratum.bucket, old_bad, old_total, parts)


def conditional_log_ratios(
    counts: StratumCounts, ratios: tuple[float, ...], margin: float
) -> LogLikelihoodRatios:
    """Returns the conditional likelihood ratio, given all bad outcomes.

    Given the number of bad outcomes in both versions, the new version's count
    is hypergeometric if the versions are alike, and binomial in the limit of
    many requests. With a margin of 1, the binomial likelihood ratio has an
    expectation of at most 1 under both distributions (Hoeffding, 1963, theorem
    4, because it is convex in the count). With a larger margin, this holds
    under the binomial distribution for all rate ratios up to the margin,
    because the likelihood ratio grows with the count.

    Args:
      counts: The stratum, for the old version's counts.
      ratios: Rate ratios of the alternatives, as multiples of the margin.
      margin: Rate ratio up to which the versions count as alike.
    """
    old_bad, old_total = counts.old_bad, counts.old_total

    def log_ratios(bad: int, total: int) -> list[float]:
        share = total / (total + old_total)
        alike = math.log1p((margin - 1.0) * share)
        return [
            bad * math.log(ratio)
            - (bad + old_bad)
            * (math.log1p((ratio * margin - 1.0) * share) - alike)
            for ratio in ratios
        ]

    return log_ratios


def baseline_log_ratios(
    tolerated: float, budget: list[float], ratios: tuple[float, ...]
) -> LogLikelihoodRatios:
    """Returns the likelihood ratio against a tolerated ratio of bad outcomes.

    Its expectation is at most 1 as long as each request has a bad outcome
    with a probability of at most `tolerated`, given the earlier ones.

    Args:
      tolerated: The tolerated ratio of bad outcomes.
      budget: Upper limit of the log likelihood ratio, for each rate ratio.
      ratios: Rate ratios of the alternatives.
    """
    gains = []
    for ratio, left in zip(ratios, budget, strict=True):
        worse = max(min(tolerated * ratio, MAX_ALTERNATIVE), tolerated)
        for_bad = math.log(worse / tolerated)
        for_good = math.log((1.0 - worse) / (1.0 - tolerated))
        gains.append((for_bad, for_good, left))

    def log_ratios(bad: int, total: int) -> list[float]:
        good = total - bad
        return [
            min(bad * for_bad + good * for_good, left)
            for for_bad, for_good, left in gains
        ]

    return log_ratios
