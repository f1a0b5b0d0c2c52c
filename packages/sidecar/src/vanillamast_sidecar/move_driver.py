"""Drives one move of traffic to its end."""

from vanillamast_sidecar.move_state import MoveState
from vanillamast_sidecar.move_status import MoveStatus
from vanillamast_sidecar.move_table import Move
from vanillamast_sidecar.version_evidence import VersionEvidence, merge
from vanillamast_sidecar.version_judge import Badness, judge

# Shares of the new version by the elapsed part of the move's time. The first
# ones keep a version that turns bad late within the exposure bound (a tenth);
# the last one leaves a third of the time for the old servers to empty.
STAGES = ((0.0, 0.07), (0.32, 0.15), (0.42, 0.3), (0.5, 0.6), (0.58, 1.0))
# The move may end from here on, as a part of its time.
EARLIEST_END = 0.72
# Old servers that are not heard of do not keep a move open beyond this part.
LATEST_END = 0.92


class MoveDriver:
    """Decides the share of the new version and when the move ends.

    Attributes:
      move: The move.
      evidence: Newest outcomes of each node's server.
      badness: Why the version was judged bad.
    """

    def __init__(self, move: Move):
        self.move = move
        self.evidence: dict[str, VersionEvidence] = {}
        self.badness: Badness | None = None

    def add(self, node: str, evidence: VersionEvidence) -> None:
        """Takes the cumulative outcomes of a node's server."""
        self.evidence[node] = evidence

    def decide(
        self, now: float, old_nodes: set[str], has_new: bool
    ) -> MoveStatus:
        """Returns the plan that is in force now.

        A plan whose state is complete is a proposal: it comes into force
        when the store has it.

        Args:
          now: Loop time, in seconds.
          old_nodes: Nodes whose server has the old version and lives.
          has_new: Whether a server of the new version is ready.
        """
        order = self.move.spec
        elapsed = now - self.move.seen_at
        if self.badness is None:
            self.badness = self._judge()
        if self.badness is not None:
            return self._plan(MoveState.REVERTED, 0.0, elapsed)
        part = elapsed / max(0.001, order.over_s)
        if part >= 1.0 and self.move.share < 1.0:
            # The time is over and the new version was not proven.
            return self._plan(MoveState.REVERTED, 0.0, elapsed)
        share = self.move.share
        target = max(share_at(part), share)
        if not has_new:
            return self._plan(
                MoveState.ACTIVE, min(target, STAGES[0][1]), elapsed
            )
        emptied = part >= EARLIEST_END and self._emptied(old_nodes)
        if share >= 1.0 and (emptied or part >= LATEST_END):
            return self._plan(MoveState.COMPLETE, 1.0, elapsed)
        return self._plan(MoveState.ACTIVE, target, elapsed)

    def _plan(
        self, state: MoveState, share: float, elapsed: float
    ) -> MoveStatus:
        order = self.move.spec
        return MoveStatus(
            order.service,
            order.move_id,
            order.to_version,
            state,
            share,
            round(elapsed, 3),
        )

    def _judge(self) -> Badness | None:
        version = self.move.spec.to_version
        parts = list(self.evidence.values())
        new = [part for part in parts if part.version == version]
        old = [part for part in parts if part.version != version]
        return judge(merge(old), merge(new))

    def _emptied(self, old_nodes: set[str]) -> bool:
        """Returns whether no old server runs anything any more."""
        for node in old_nodes:
            evidence = self.evidence.get(node)
            if evidence is None or evidence.share < 1.0 or not evidence.idle:
                return False
        return True


def share_at(part: float) -> float:
    """Returns the share of the new version at a part of the move's time."""
    return max(share for start, share in STAGES if part >= start)
