"""Kinds of bad outcomes that a verdict compares."""

import dataclasses
from collections.abc import Callable
from typing import NamedTuple

from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.moves.latency_bins import count_from
from vanillamast_core.registry import Registry


class BadCount(NamedTuple):
    """Bad outcomes among the outcomes that could have been bad."""

    bad: int
    total: int


# Takes a cell, the first slow latency bin (None if it is not known) and
# whether membership considers the cell's instance dead.
Count = Callable[[EvidenceCell, int | None, bool], BadCount]


@dataclasses.dataclass(slots=True, frozen=True)
class VerdictTest:
    """A kind of bad outcome.

    Attributes:
      count: Counts it in a cell.
      heeds_deaths: Whether the count depends on which instances are dead;
        it is then open to change until membership knows.
    """

    count: Count
    heeds_deaths: bool = False


verdict_tests: Registry[VerdictTest] = Registry("verdict test")


def verdict_test(
    name: str, heeds_deaths: bool = False
) -> Callable[[Count], Count]:
    """Returns a decorator that registers a count as a verdict test.

    Args:
      name: Kind of bad outcome, part of the reason of a take-back.
      heeds_deaths: See `VerdictTest`.

    Raises:
      DuplicateEntryError: The name is taken.
    """

    def decorate(count: Count) -> Count:
        verdict_tests.register(name)(VerdictTest(count, heeds_deaths))
        return count

    return decorate


@verdict_test("failures")
def count_failures(
    cell: EvidenceCell, slow_bin: int | None, dead: bool
) -> BadCount:
    """Counts failures among requests that connected."""
    return BadCount(cell.failures, cell.requests - cell.connect_failures)


@verdict_test("connect_failures", heeds_deaths=True)
def count_connect_failures(
    cell: EvidenceCell, slow_bin: int | None, dead: bool
) -> BadCount:
    """Counts requests that did not connect, but not to a dead instance."""
    if dead:
        return BadCount(0, cell.requests - cell.connect_failures)
    return BadCount(cell.connect_failures, cell.requests)


@verdict_test("slow_answers")
def count_slow_answers(
    cell: EvidenceCell, slow_bin: int | None, dead: bool
) -> BadCount:
    """Counts slow responses among warm successful ones."""
    if slow_bin is None:
        return BadCount(0, 0)
    return BadCount(
        count_from(cell.latency, slow_bin), sum(cell.latency.values())
    )
