"""Specs and statuses of moves, as one node knows them."""

import dataclasses
from collections.abc import Callable

from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.rollouts.move_spec import MoveSpec
from vanillamast_sidecar.rollouts.move_state import MoveState
from vanillamast_sidecar.rollouts.move_status import MoveStatus
from vanillamast_sidecar.rollouts.version_evidence import VersionEvidence
from vanillamast_sidecar.routing.weighted_split import WeightedSplit

# Complete takes precedence over reverted: the old servers may have stopped.
_STATE_PRECEDENCE = {
    MoveState.ACTIVE: 0,
    MoveState.REVERTED: 1,
    MoveState.COMPLETE: 2,
}


@dataclasses.dataclass(slots=True)
class Move:
    """A move that a node knows.

    Attributes:
      spec: What the operator asked for.
      first_seen_at: When the first node saw the spec, in loop time.
      status: Newest status, None before the driver's first announcement.
      status_at: When the newest status arrived, in loop time.
      split: Chooses between the versions by the status's share.
      evidence: Outcomes at the local server, None if there are none.
    """

    spec: MoveSpec
    first_seen_at: float
    status: MoveStatus | None = None
    status_at: float = 0.0
    split: WeightedSplit | None = None
    evidence: VersionEvidence | None = None

    @property
    def state(self) -> MoveState:
        """Returns the state of the move."""
        return MoveState.ACTIVE if self.status is None else self.status.state

    @property
    def share(self) -> float:
        """Returns the fraction of requests that the new version gets now."""
        if self.status is None:
            return 0.0
        if self.status.state is MoveState.REVERTED:
            return 0.0
        if self.status.state is MoveState.COMPLETE:
            return 1.0
        return self.status.share


class MoveTable:
    """Decides which versions of a service receive requests.

    Attributes:
      by_service: The newest move of each service.
      on_change: Called with the name of a service whose move changed.
    """

    def __init__(self, on_change: Callable[[str], None]):
        self.by_service: dict[str, Move] = {}
        self.on_change = on_change

    def add_spec(self, spec: MoveSpec, now: float) -> bool:
        """Adds a move spec; returns whether it is new."""
        known = self.by_service.get(spec.service)
        if known is not None and known.spec.move_id >= spec.move_id:
            return False
        self.by_service[spec.service] = Move(spec, now)
        self.on_change(spec.service)
        return True

    def apply_status(self, status: MoveStatus, now: float) -> bool:
        """Applies a status of the driver; returns whether anything changed."""
        move = self.by_service.get(status.service)
        if move is None or move.spec.move_id < status.move_id:
            # The status arrived before the spec.
            spec = MoveSpec(
                status.service, status.to_version, 0.0, status.move_id
            )
            move = Move(spec, now)
            self.by_service[status.service] = move
        if move.spec.move_id > status.move_id:
            return False
        move.first_seen_at = min(move.first_seen_at, now - status.elapsed_s)
        if _outranks(move, status) or _is_stale(move, status):
            return False
        move.status_at = now
        changed = (move.share, move.state) != (status.share, status.state)
        known = move.status
        changed = changed or known is None or known.recorded != status.recorded
        move.status = status
        if changed:
            share = move.share
            move.split = WeightedSplit((("new", share), ("old", 1.0 - share)))
            self.on_change(status.service)
        return changed

    def known_elapsed_s(self, status: MoveStatus) -> float:
        """Returns the age of the move in the newest status; -1 without one."""
        move = self.by_service.get(status.service)
        if move is None or move.status is None:
            return -1.0
        known = move.status
        return known.elapsed_s if known.move_id == status.move_id else -1.0

    def complete_spec(self, spec: MoveSpec) -> bool:
        """Stores a spec if its status came first; returns whether it did."""
        move = self.by_service.get(spec.service)
        if move is None or move.spec.move_id != spec.move_id:
            return False
        if move.spec.over_s > 0.0 or spec.over_s <= 0.0:
            return False
        move.spec = spec
        return True

    def statuses(self) -> list[MoveStatus]:
        """Returns the newest status of each move that has one."""
        statuses = (move.status for move in self.by_service.values())
        return [status for status in statuses if status is not None]

    def prefers_new(self, service: str) -> bool | None:
        """Returns whether the next request should go to the new version.

        Returns:
          None if the service has no move.
        """
        move = self.by_service.get(service)
        if move is None:
            return None
        if move.split is None or move.share <= 0.0:
            return False
        return move.share >= 1.0 or move.split.choose() == "new"

    def splits_requests(self, service: str) -> bool:
        """Returns whether two versions of a service share its requests."""
        move = self.by_service.get(service)
        return move is not None and 0.0 < move.share < 1.0

    def old_has_share(self, service: str) -> bool:
        """Returns whether the old version of a service still has a share."""
        move = self.by_service.get(service)
        return move is not None and move.share < 1.0

    def is_new_version(self, record: InstanceRecord) -> bool:
        """Returns whether a server runs the new version of a move."""
        move = self.by_service.get(record.service)
        return move is not None and record.version == move.spec.to_version

    def allows_requests(self, record: InstanceRecord) -> bool:
        """Returns whether the server's version has a share of the requests."""
        move = self.by_service.get(record.service)
        if move is None:
            return True
        if record.version == move.spec.to_version:
            return move.share > 0.0
        return move.share < 1.0

    def count_outcome(
        self,
        record: InstanceRecord,
        route: str,
        failed: bool,
        duration_s: float,
        cold: bool,
    ) -> None:
        """Counts a finished request of the local server as evidence."""
        move = self.by_service.get(record.service)
        if move is None or move.state is not MoveState.ACTIVE:
            return
        if cold and not failed:
            return
        evidence = move.evidence
        if evidence is None or evidence.version != record.version:
            evidence = VersionEvidence(record.version, {})
            move.evidence = evidence
        evidence.add(route, failed, duration_s)


def _is_stale(move: Move, status: MoveStatus) -> bool:
    """Returns whether a status is not newer than the known one.

    Copies arrive through several hubs and in any order. If an old one counted
    as a change, hubs with different statuses would send them to each other
    for ever.
    """
    known = move.status
    if known is None or status.state is not known.state:
        return False
    if status.recorded != known.recorded:
        return known.recorded
    return known.recorded or status.elapsed_s <= known.elapsed_s


def _outranks(move: Move, status: MoveStatus) -> bool:
    """Returns whether the known status overrides another one."""
    known = move.status
    if known is not None and known.recorded and not status.recorded:
        return True
    if known is not None and status.recorded and not known.recorded:
        return False
    return _STATE_PRECEDENCE[status.state] < _STATE_PRECEDENCE[move.state]
