"""Decides the share of the new version over the course of a move."""

from vanillamast_sidecar.rollouts.move_state import MoveState
from vanillamast_sidecar.rollouts.move_status import MoveStatus
from vanillamast_sidecar.rollouts.move_table import Move
from vanillamast_sidecar.rollouts.version_evidence import (
    VersionEvidence,
    merge_evidence,
)
from vanillamast_sidecar.rollouts.version_judge import Badness, judge

# Shares of the new version by elapsed fraction of the move's time limit. The
# first ones keep a version that starts to fail late within the exposure bound
# (a tenth of the requests); the last one leaves a third of the time for the old
# servers to finish their requests.
SHARE_STEPS = ((0.0, 0.07), (0.32, 0.15), (0.42, 0.3), (0.5, 0.6), (0.58, 1.0))
# Fraction of the time limit from which on a move may complete.
EARLIEST_END_FRACTION = 0.72
# From this fraction on, a move completes even if old servers do not report.
LATEST_END_FRACTION = 0.92


class MoveDriver:
    """Decides the share of the new version and when the move ends.

    Attributes:
      move: The move.
      evidence: Newest evidence of each node, by address.
      regression: Why the new version was judged as failing, None while it
        was not.
    """

    def __init__(self, move: Move):
        self.move = move
        self.evidence: dict[str, VersionEvidence] = {}
        self.regression: Badness | None = None

    def add_evidence(self, node: str, evidence: VersionEvidence) -> None:
        """Stores the cumulative outcomes at a node's server."""
        self.evidence[node] = evidence

    def decide_status(
        self, now: float, old_nodes: set[str], has_new_server: bool
    ) -> MoveStatus:
        """Returns the status that the move should have now.

        A status whose state is complete is a proposal: it becomes active
        once the store has recorded it.

        Args:
          now: Loop time, in seconds.
          old_nodes: Nodes with a ready server of the old version.
          has_new_server: Whether a server of the new version is usable.
        """
        spec = self.move.spec
        elapsed_s = now - self.move.first_seen_at
        if self.regression is None:
            self.regression = self._find_regression()
        if self.regression is not None:
            return self._make_status(MoveState.REVERTED, 0.0, elapsed_s)
        progress = elapsed_s / max(0.001, spec.over_s)
        if progress >= 1.0 and self.move.share < 1.0:
            # The time limit passed before the new version got all requests.
            return self._make_status(MoveState.REVERTED, 0.0, elapsed_s)
        share = self.move.share
        target = max(share_at(progress), share)
        if not has_new_server:
            return self._make_status(
                MoveState.ACTIVE, min(target, SHARE_STEPS[0][1]), elapsed_s
            )
        old_idle = progress >= EARLIEST_END_FRACTION and self._old_servers_idle(
            old_nodes
        )
        if share >= 1.0 and (old_idle or progress >= LATEST_END_FRACTION):
            return self._make_status(MoveState.COMPLETE, 1.0, elapsed_s)
        return self._make_status(MoveState.ACTIVE, target, elapsed_s)

    def _make_status(
        self, state: MoveState, share: float, elapsed_s: float
    ) -> MoveStatus:
        spec = self.move.spec
        return MoveStatus(
            spec.service,
            spec.move_id,
            spec.to_version,
            state,
            share,
            round(elapsed_s, 3),
            era=spec.era,
        )

    def _find_regression(self) -> Badness | None:
        version = self.move.spec.to_version
        reports = list(self.evidence.values())
        new = [report for report in reports if report.version == version]
        old = [report for report in reports if report.version != version]
        return judge(merge_evidence(old), merge_evidence(new))

    def _old_servers_idle(self, old_nodes: set[str]) -> bool:
        """Returns whether all old servers know the full share and are idle."""
        for node in old_nodes:
            evidence = self.evidence.get(node)
            if evidence is None or evidence.share < 1.0 or not evidence.idle:
                return False
        return True


def share_at(progress: float) -> float:
    """Returns the new version's share at a fraction of the time limit."""
    return max(share for start, share in SHARE_STEPS if progress >= start)
