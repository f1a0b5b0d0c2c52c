"""Kinds of bad outcomes that a verdict compares."""

import dataclasses
from collections.abc import Callable
from typing import NamedTuple

from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.moves.latency_bins import count_at_or_above
from vanillamast_core.registry import Registry

# Instances of one version differ in speed. 10% more latency makes about 1.4
# times as many responses slow, which would be evidence without this margin.
SLOW_MARGIN = 1.25
# Up to a tenth of the old version's responses are slow, so a rate ratio is at
# most 10. Multiplied by the margin, these cover 2 to 7.5.
SLOW_RATE_RATIOS = (1.6, 3.0, 6.0)
RATE_RATIOS = (2.0, 5.0, 20.0)  # From a mild to a nearly total failure.


class OutcomeCounts(NamedTuple):
    """Number of bad outcomes among the outcomes that could have been bad."""

    bad: int
    total: int


# Takes a cell, the first slow latency bin (None if it is not known) and
# whether membership considers the cell's instance dead.
OutcomeCounter = Callable[[EvidenceCell, int | None, bool], OutcomeCounts]


@dataclasses.dataclass(slots=True, frozen=True)
class VerdictTest:
    """Test of one kind of bad outcome.

    Attributes:
      count: Counts the bad outcomes of a cell.
      depends_on_liveness: Whether the count depends on which instances are
        dead. It may then change until membership has detected dead instances.
      margin: Rate ratio up to which the versions count as alike.
      ratios: Rate ratios of the alternatives, as multiples of the margin.
    """

    count: OutcomeCounter
    depends_on_liveness: bool = False
    margin: float = 1.0
    ratios: tuple[float, ...] = RATE_RATIOS


verdict_tests: Registry[VerdictTest] = Registry("verdict test")


def verdict_test(
    name: str,
    depends_on_liveness: bool = False,
    margin: float = 1.0,
    ratios: tuple[float, ...] = RATE_RATIOS,
) -> Callable[[OutcomeCounter], OutcomeCounter]:
    """Returns a decorator that registers a count as a verdict test.

    Args:
      name: Kind of bad outcome, part of the reason for a rollback.
      depends_on_liveness: See `VerdictTest`.
      margin: See `VerdictTest`.
      ratios: See `VerdictTest`.

    Raises:
      DuplicateEntryError: The name is taken.
    """

    def decorate(count: OutcomeCounter) -> OutcomeCounter:
        verdict_tests.register(name)(
            VerdictTest(count, depends_on_liveness, margin, ratios)
        )
        return count

    return decorate


@verdict_test("failures")
def count_failures(
    cell: EvidenceCell, slow_bin: int | None, dead: bool
) -> OutcomeCounts:
    """Counts failures among requests that connected."""
    return OutcomeCounts(cell.failures, cell.requests - cell.connect_failures)


@verdict_test("connect_failures", depends_on_liveness=True)
def count_connect_failures(
    cell: EvidenceCell, slow_bin: int | None, dead: bool
) -> OutcomeCounts:
    """Counts requests that did not connect, except to dead instances."""
    if dead:
        return OutcomeCounts(0, cell.requests - cell.connect_failures)
    return OutcomeCounts(cell.connect_failures, cell.requests)


@verdict_test("slow_answers", margin=SLOW_MARGIN, ratios=SLOW_RATE_RATIOS)
def count_slow_answers(
    cell: EvidenceCell, slow_bin: int | None, dead: bool
) -> OutcomeCounts:
    """Counts slow responses among warm successful ones."""
    if slow_bin is None:
        return OutcomeCounts(0, 0)
    return OutcomeCounts(
        count_at_or_above(cell.latency, slow_bin), sum(cell.latency.values())
    )
