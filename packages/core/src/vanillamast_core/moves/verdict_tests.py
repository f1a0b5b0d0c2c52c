"""Kinds of bad outcomes that a verdict compares."""

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
VerdictTest = Callable[[EvidenceCell, int | None, bool], BadCount]

verdict_tests: Registry[VerdictTest] = Registry("verdict test")


@verdict_tests.register("failures")
def count_failures(
    cell: EvidenceCell, slow_bin: int | None, dead: bool
) -> BadCount:
    """Counts failures among requests that connected."""
    return BadCount(cell.failures, cell.requests - cell.connect_failures)


@verdict_tests.register("connect_failures")
def count_connect_failures(
    cell: EvidenceCell, slow_bin: int | None, dead: bool
) -> BadCount:
    """Counts requests that did not connect, but not to a dead instance."""
    if dead:
        return BadCount(0, cell.requests - cell.connect_failures)
    return BadCount(cell.connect_failures, cell.requests)


@verdict_tests.register("slow_answers")
def count_slow_answers(
    cell: EvidenceCell, slow_bin: int | None, dead: bool
) -> BadCount:
    """Counts slow responses among warm successful ones."""
    if slow_bin is None:
        return BadCount(0, 0)
    return BadCount(
        count_from(cell.latency, slow_bin), sum(cell.latency.values())
    )
