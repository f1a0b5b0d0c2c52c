"""Leave-one-out e-processes of one kind of bad outcome on one route."""

import copy
from collections.abc import Callable
from typing import NamedTuple

from vanillamast_core.moves.cell_merge import OTHERS
from vanillamast_core.moves.change_point_mixture import (
    ChangePointMixture,
    change_point_weight,
    to_likelihood_ratios,
)


class InstanceCounts(NamedTuple):
    """Bad outcomes of one instance of the new version."""

    instance: str
    domain: str
    bad: int
    total: int


class StratumCounts(NamedTuple):
    """Counts of one kind of bad outcome in one stratum."""

    bucket: int
    old_bad: int
    old_total: int
    instances: list[InstanceCounts]


# Takes the new version's bad and total counts; returns the log likelihood ratio
# for each rate ratio.
LogLikelihoodRatios = Callable[[int, int], list[float]]


class StratumRatios(NamedTuple):
    """One stratum's likelihood ratios for each rate ratio.

    Attributes:
      all_instances: With all instances.
      named_only: Without the unnamed instances.
      without_instance: By instance of the stratum that is left out.
      without_domain: By server failure domain of the stratum that is left out.
    """

    all_instances: list[float]
    named_only: list[float]
    without_instance: dict[str, list[float]]
    without_domain: dict[str, list[float]]


class LeaveOneOutTest:
    """E-processes that each leave out one part of the new version.

    A part is one instance or one failure domain of servers, so that a single
    broken part does not count against the version. The pooled cell of unnamed
    instances is left out as well each time, because the part may be among
    them.

    Attributes:
      unused_weight: Weight of the change points that are still ahead.
      periods: Number of buckets with evidence.
      last_bucket: The latest of them.
      all_instances: E-process of all instances.
      named_only: E-process without the unnamed instances.
      without_instance: E-process by instance that is left out.
      without_domain: E-process by server failure domain that is left out.
    """

    def __init__(self, rate_ratio_count: int):
        self.unused_weight = 1.0
        self.periods = 0
        self.last_bucket = -1
        self.all_instances = ChangePointMixture([0.0] * rate_ratio_count)
        self.named_only = ChangePointMixture([0.0] * rate_ratio_count)
        self.without_instance: dict[str, ChangePointMixture] = {}
        self.without_domain: dict[str, ChangePointMixture] = {}

    def copy(self) -> "LeaveOneOutTest":
        """Returns an independent copy."""
        copied = copy.copy(self)
        copied.all_instances = self.all_instances.copy()
        copied.named_only = self.named_only.copy()
        copied.without_instance = {
            name: mixture.copy()
            for name, mixture in self.without_instance.items()
        }
        copied.without_domain = {
            name: mixture.copy()
            for name, mixture in self.without_domain.items()
        }
        return copied

    def add_stratum(self, counts: StratumCounts, ratios: StratumRatios) -> None:
        """Adds one stratum."""
        self.track_parts(counts.instances)
        if counts.bucket > self.last_bucket:
            self.last_bucket = counts.bucket
            self.start_period()
        self.all_instances.multiply(ratios.all_instances)
        self.named_only.multiply(ratios.named_only)
        for name, mixture in self.without_instance.items():
            mixture.multiply(
                ratios.without_instance.get(name, ratios.named_only)
            )
        for name, mixture in self.without_domain.items():
            mixture.multiply(ratios.without_domain.get(name, ratios.named_only))

    def track_parts(self, parts: list[InstanceCounts]) -> None:
        """Starts an e-process for each part that appears for the first time.

        It starts from the evidence so far, to which the part contributed
        nothing.
        """
        for part in parts:
            if part.instance == OTHERS:
                continue
            if part.instance not in self.without_instance:
                self.without_instance[part.instance] = self.named_only.copy()
            if part.domain not in self.without_domain:
                self.without_domain[part.domain] = self.named_only.copy()

    def start_period(self) -> None:
        """Adds a change point at this bucket to all e-processes."""
        self.periods += 1
        weight = min(change_point_weight(self.periods), self.unused_weight)
        self.unused_weight -= weight
        for mixture in self.all_mixtures():
            mixture.add_change_point(weight)

    def all_mixtures(self) -> list[ChangePointMixture]:
        """Returns all e-processes."""
        return [
            self.all_instances,
            self.named_only,
            *self.without_instance.values(),
            *self.without_domain.values(),
        ]

    def e_value(self, sole_instance: bool) -> float:
        """Returns the smallest e-value over the parts left out.

        Args:
          sole_instance: Whether the new version has only one instance, which
            then cannot be left out.
        """
        total = self.all_instances.total()
        if not sole_instance:
            left_out = [self.named_only, *self.without_instance.values()]
            if len(self.without_domain) > 1:
                left_out += self.without_domain.values()
            total = min(mixture.total() for mixture in left_out)
        return self.unused_weight + total


def stratum_ratios(
    counts: StratumCounts, log_ratios: LogLikelihoodRatios
) -> StratumRatios:
    """Returns a stratum's likelihood ratios, also with each part left out."""
    parts = [part for part in counts.instances if part.instance != OTHERS]
    bad, total = sum_counts(parts)
    by_instance: dict[str, list[InstanceCounts]] = {}
    by_domain: dict[str, list[InstanceCounts]] = {}
    for part in parts:
        by_instance.setdefault(part.instance, []).append(part)
        by_domain.setdefault(part.domain, []).append(part)

    def without(removed: list[InstanceCounts]) -> list[float]:
        removed_bad, removed_total = sum_counts(removed)
        return to_likelihood_ratios(
            log_ratios(bad - removed_bad, total - removed_total)
        )

    return StratumRatios(
        to_likelihood_ratios(log_ratios(*sum_counts(counts.instances))),
        to_likelihood_ratios(log_ratios(bad, total)),
        {name: without(removed) for name, removed in by_instance.items()},
        {name: without(removed) for name, removed in by_domain.items()},
    )


def sum_counts(parts: list[InstanceCounts]) -> tuple[int, int]:
    """Returns the number of bad outcomes and of all outcomes."""
    bad = total = 0
    for part in parts:
        bad += part.bad
        total += part.total
    return bad, total
