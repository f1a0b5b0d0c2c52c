"""Verdicts on new versions from the outcomes of real requests."""

from collections.abc import Iterable, Mapping

from vanillamast_core.moves.baseline import Baseline
from vanillamast_core.moves.evidence import EvidenceCell, Side
from vanillamast_core.moves.judge_settings import JudgeSettings
from vanillamast_core.moves.latency_bins import LAST_BIN
from vanillamast_core.moves.move import Move
from vanillamast_core.moves.move_evidence import MoveEvidence
from vanillamast_core.moves.verdict import (
    NoRegression,
    Regression,
    Undecided,
    Verdict,
)

NO_COUNTS: Mapping[int, int] = {}  # The number of instances is not known.


class Judge:
    """Compares the two versions of each move by sequential tests.

    Attributes:
      settings: How much evidence a verdict takes.
      moves: Evidence by `Move.started_at`, in order of first evidence.
      dropped: Number of cells that were dropped because their counts were
        inconsistent or the limit on moves was reached.
    """

    def __init__(self, settings: JudgeSettings):
        self.settings = settings
        self.moves: dict[int, MoveEvidence] = {}
        self.dropped = 0

    def add(self, cells: Iterable[EvidenceCell]) -> None:
        """Adds evidence; each outcome must be added exactly once.

        Cells with inconsistent counts are dropped.
        """
        for cell in cells:
            if not is_consistent(cell):
                self.dropped += 1
                continue
            evidence = self.evidence_for(cell.move, cell.bucket)
            if evidence is None:
                self.dropped += 1
                continue
            evidence.add(cell)

    def forget(self, started_at: int) -> None:
        """Drops the evidence about a move."""
        self.moves.pop(started_at, None)

    def verdict(
        self,
        move: Move,
        wall: float,
        dead: frozenset[str],
        instances: int | None = None,
    ) -> Verdict:
        """Returns the verdict on the new version at this time.

        The test is valid under continuous monitoring: however often it is
        called, the probability that it ever returns `Regression` for a version
        that is as good as the old one is at most alpha / judges.

        Args:
          move: The move.
          wall: Wall time in seconds.
          dead: Instances that membership considers dead.
          instances: Number of instances of the new version, None if unknown.
        """
        bucket = int(wall // self.settings.bucket_s)
        evidence = self.evidence_for(move.started_at, bucket)
        if evidence is None:
            return Undecided()
        evidence.close_due_strata(move, wall, dead)
        found = evidence.combined_e_value(move, instances)
        if found.e_value >= self.settings.rejection_threshold:
            return Regression(found.reason, found.route, found.e_value)
        if evidence.is_noninferior():
            return NoRegression(found.e_value)
        return Undecided(found.e_value, found.route, found.reason)

    def baseline(self, started_at: int) -> Baseline:
        """Returns the old version's recent failures and latency."""
        evidence = self.moves.get(started_at)
        return evidence.old_history.baseline() if evidence else Baseline()

    def evidence_for(self, started_at: int, bucket: int) -> MoveEvidence | None:
        """Returns a move's evidence, None if the limit on moves is reached.

        At the limit, a move without recent evidence is evicted for a new one.
        One in use is never evicted: a test that starts again on the same move
        would double its error rate.
        """
        evidence = self.moves.get(started_at)
        if evidence is not None:
            evidence.last_bucket = max(evidence.last_bucket, bucket)
            return evidence
        if len(self.moves) >= self.settings.max_moves:
            idle = min(self.moves, key=lambda key: self.moves[key].last_bucket)
            unused = bucket - self.moves[idle].last_bucket
            if unused * self.settings.bucket_s < self.settings.history_s:
                return None
            del self.moves[idle]
        evidence = self.moves[started_at] = MoveEvidence(self.settings)
        evidence.last_bucket = bucket
        return evidence


def is_consistent(cell: EvidenceCell) -> bool:
    """Returns whether a cell's counts are consistent."""
    counts = (cell.failures, cell.connect_failures, *cell.latency.values())
    return (
        min(counts) >= 0
        and sum(counts) <= cell.requests
        and all(0 <= index <= LAST_BIN for index in cell.latency)
        and bool(cell.instance) == (cell.side is Side.NEW)
    )
