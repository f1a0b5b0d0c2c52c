"""Evidence of one kind on one route, with parts left out."""

import copy
from collections.abc import Callable
from typing import NamedTuple

from vanillamast_core.moves.cell_merge import OTHERS
from vanillamast_core.moves.change_mixture import (
    ChangeMixture,
    onset_weight,
    to_factors,
)


class PartCount(NamedTuple):
    """Bad outcomes of one instance of the new version."""

    instance: str
    domain: str
    bad: int
    total: int


class Counts(NamedTuple):
    """Counts of one kind in one stratum."""

    bucket: int
    old_bad: int
    old_total: int
    parts: list[PartCount]


# Returns the log likelihood ratios for the new version's bad and total counts.
LogRatios = Callable[[int, int], list[float]]


class Factors(NamedTuple):
    """One stratum's likelihood ratios.

    Attributes:
      everything: With nothing left out.
      named: Without the unnamed instances.
      instances: By instance of the stratum that is left out.
      domains: By server failure domain of the stratum that is left out.
    """

    everything: list[float]
    named: list[float]
    instances: dict[str, list[float]]
    domains: dict[str, list[float]]


class Contrast:
    """An e-process for each way to leave out a part of the new version.

    The parts are single instances and single failure domains of servers. The
    cell of unnamed instances is left out as well each time, because the part
    that is left out may be among them.

    Attributes:
      unspent: Weight of the times of change that are still ahead.
      periods: Buckets that held evidence.
      last_bucket: The latest of them.
      everything: Evidence with nothing left out.
      named: Evidence without the unnamed instances.
      instances: Evidence by instance that is left out.
      domains: Evidence by server failure domain that is left out.
    """

    def __init__(self, ratios: int):
        self.unspent = 1.0
        self.periods = 0
        self.last_bucket = -1
        self.everything = ChangeMixture([0.0] * ratios)
        self.named = ChangeMixture([0.0] * ratios)
        self.instances: dict[str, ChangeMixture] = {}
        self.domains: dict[str, ChangeMixture] = {}

    def copy(self) -> "Contrast":
        """Returns an independent copy."""
        copied = copy.copy(self)
        copied.everything = self.everything.copy()
        copied.named = self.named.copy()
        copied.instances = {n: m.copy() for n, m in self.instances.items()}
        copied.domains = {n: m.copy() for n, m in self.domains.items()}
        return copied

    def apply(self, counts: Counts, factors: Factors) -> None:
        """Adds one stratum."""
        self.know(counts.parts)
        if counts.bucket > self.last_bucket:
            self.last_bucket = counts.bucket
            self.open_period()
        self.everything.multiply(factors.everything)
        self.named.multiply(factors.named)
        for name, mixture in self.instances.items():
            mixture.multiply(factors.instances.get(name, factors.named))
        for name, mixture in self.domains.items():
            mixture.multiply(factors.domains.get(name, factors.named))

    def know(self, parts: list[PartCount]) -> None:
        """Starts to leave out parts that are new.

        A part that had no evidence so far leaves what was there unchanged.
        """
        for part in parts:
            if part.instance == OTHERS:
                continue
            if part.instance not in self.instances:
                self.instances[part.instance] = self.named.copy()
            if part.domain not in self.domains:
                self.domains[part.domain] = self.named.copy()

    def open_period(self) -> None:
        """Starts the weight of a change at this bucket."""
        self.periods += 1
        weight = min(onset_weight(self.periods), self.unspent)
        self.unspent -= weight
        for mixture in self.mixtures():
            mixture.open(weight)

    def mixtures(self) -> list[ChangeMixture]:
        """Returns all e-processes."""
        return [
            self.everything,
            self.named,
            *self.instances.values(),
            *self.domains.values(),
        ]

    def e_value(self, sole_instance: bool) -> float:
        """Returns the evidence that holds whatever part is left out.

        Args:
          sole_instance: Whether the new version has only one instance, which
            then cannot be left out.
        """
        total = self.everything.total()
        if not sole_instance:
            left_out = [self.named, *self.instances.values()]
            if len(self.domains) > 1:
                left_out += self.domains.values()
            total = min(mixture.total() for mixture in left_out)
        return self.unspent + total


def to_all_factors(counts: Counts, log_ratios: LogRatios) -> Factors:
    """Returns a stratum's likelihood ratios for each part left out."""
    parts = [part for part in counts.parts if part.instance != OTHERS]
    bad, total = sums(parts)
    by_instance: dict[str, list[PartCount]] = {}
    by_domain: dict[str, list[PartCount]] = {}
    for part in parts:
        by_instance.setdefault(part.instance, []).append(part)
        by_domain.setdefault(part.domain, []).append(part)

    def without(removed: list[PartCount]) -> list[float]:
        x, n = sums(removed)
        return to_factors(log_ratios(bad - x, total - n))

    return Factors(
        to_factors(log_ratios(*sums(counts.parts))),
        to_factors(log_ratios(bad, total)),
        {name: without(removed) for name, removed in by_instance.items()},
        {name: without(removed) for name, removed in by_domain.items()},
    )


def sums(parts: list[PartCount]) -> tuple[int, int]:
    """Returns the bad outcomes and all outcomes of the parts."""
    bad = total = 0
    for part in parts:
        bad += part.bad
        total += part.total
    return bad, total
