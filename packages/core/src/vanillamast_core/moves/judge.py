"""Judges new versions by the outcome of real requests."""

from collections.abc import Iterable

from vanillamast_core.moves.baseline import Baseline
from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.moves.judge_settings import JudgeSettings
from vanillamast_core.moves.move import Move
from vanillamast_core.moves.move_evidence import MoveEvidence
from vanillamast_core.moves.verdict import Bad, Good, Undecided, Verdict


class Judge:
    """Compares the versions of moves while evidence comes in.

    Attributes:
      settings: How much evidence a verdict takes.
      moves: Evidence by `Move.started_at`, in order of first evidence.
    """

    def __init__(self, settings: JudgeSettings):
        self.settings = settings
        self.moves: dict[int, MoveEvidence] = {}

    def add(self, cells: Iterable[EvidenceCell]) -> None:
        """Adds evidence; each outcome must be added once."""
        for cell in cells:
            self.evidence(cell.move).add(cell)

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
        """Returns what the evidence says at this time.

        It may be called at any time and any number of times: the probability
        that it ever returns `Bad` for a version that is as good as the old
        one is at most alpha / judges.

        Args:
          move: The move.
          wall: Wall time in seconds.
          dead: Instances that membership considers dead.
          instances: Instances of the new version, None if not known.
        """
        evidence = self.evidence(move.started_at)
        evidence.advance(move, wall, dead)
        found = evidence.suspicion(move, instances)
        if found.e_value >= self.settings.limit:
            return Bad(found.reason, found.route, found.e_value)
        if evidence.cleared():
            return Good(found.e_value)
        return Undecided(found.e_value, found.route, found.reason)

    def baseline(self, started_at: int) -> Baseline:
        """Returns what the old version did in the last minutes."""
        evidence = self.moves.get(started_at)
        return evidence.history.baseline() if evidence else Baseline()

    def evidence(self, started_at: int) -> MoveEvidence:
        """Returns a move's evidence, the oldest move's place if need be."""
        evidence = self.moves.get(started_at)
        if evidence is None:
            if len(self.moves) >= self.settings.max_moves:
                del self.moves[next(iter(self.moves))]
            evidence = self.moves[started_at] = MoveEvidence(self.settings)
        return evidence
