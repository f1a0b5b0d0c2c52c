"""Specs and statuses of moves, as one node knows them."""

import dataclasses
from collections.abc import Callable

import msgspec

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

# Specs that are remembered of each service: more than the operator writes in
# the seconds that a store can lose.
MAX_REPLACED = 8
# Services with a move, and the longest name of one and its version: nodes pass
# on what any of them says.
MAX_MOVES = 1024
MAX_NAME = 256


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
      must_record: Whether the store may have lost the state that it had
        recorded.
    """

    spec: MoveSpec
    first_seen_at: float
    status: MoveStatus | None = None
    status_at: float = 0.0
    split: WeightedSplit | None = None
    evidence: VersionEvidence | None = None
    must_record: bool = False

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
      replaced: The last specs of each service that a later one replaced, the
        oldest first.
    """

    def __init__(self, on_change: Callable[[str], None]):
        self.by_service: dict[str, Move] = {}
        self.on_change = on_change
        self.replaced: dict[str, list[MoveSpec]] = {}

    def add_spec(self, spec: MoveSpec, now: float) -> bool:
        """Adds a move spec; returns whether it is new."""
        known = self.by_service.get(spec.service)
        if known is not None:
            if known.spec.position >= spec.position:
                return False
            if self._is_older_record(known, spec):
                return False
            self._remember_replaced(known.spec)
        self.by_service[spec.service] = Move(spec, now)
        self.on_change(spec.service)
        return True

    def renew_spec(self, spec: MoveSpec, now: float) -> bool:
        """Applies a spec that a later era has for the known move.

        The store returned from an older copy. The known move's record is in
        the copy, or the operator has written it again at another offset. The
        move goes on; what was recorded of it may be lost. A further spec with
        the same content in that era is a new order.

        Returns:
          Whether the spec is that of the known move.
        """
        move = self.by_service.get(spec.service)
        if move is None or spec.era <= move.spec.era:
            return False
        if not spec.asks_the_same_as(move.spec):
            return False
        if spec.move_id != move.spec.move_id and self._is_older_record(
            move, spec
        ):
            return False
        self._renew(move, spec, now)
        return True

    def _renew(self, move: Move, spec: MoveSpec, now: float) -> None:
        over_s = spec.over_s or move.spec.over_s
        move.spec = dataclasses.replace(spec, over_s=over_s)
        if move.status is not None:
            move.status = msgspec.structs.replace(
                move.status,
                move_id=spec.move_id,
                era=spec.era,
                recorded=False,
            )
            move.status_at = now
            move.must_record = True

    def _is_older_record(self, known: Move, spec: MoveSpec) -> bool:
        """Returns whether a spec of a later era is one that was replaced.

        The copy still has that record, while the known one is lost until the
        operator has written it again.
        """
        if spec.era == known.spec.era:
            return False
        return any(
            spec.move_id == old.move_id and spec.asks_the_same_as(old)
            for old in self.replaced.get(spec.service, ())
        )

    def _remember_replaced(self, spec: MoveSpec) -> None:
        specs = self.replaced.setdefault(spec.service, [])
        specs.append(spec)
        del specs[:-MAX_REPLACED]

    def apply_status(self, status: MoveStatus, now: float) -> bool:
        """Applies a status of the driver; returns whether anything changed."""
        move = self.by_service.get(status.service)
        if move is None and len(self.by_service) >= MAX_MOVES:
            return False
        if len(status.service) > MAX_NAME or len(status.to_version) > MAX_NAME:
            return False
        if move is not None and move.spec.era != status.era:
            status = self._convert_era(move, status, now)
            if status.era > move.spec.era:
                # Only the spec tells a new order from one written again.
                return False
        if move is None or move.spec.position < status.position:
            # The status arrived before the spec.
            spec = MoveSpec(
                status.service,
                status.to_version,
                0.0,
                status.move_id,
                status.era,
            )
            self.add_spec(spec, now)
            move = self.by_service[status.service]
        if move.spec.position > status.position:
            return False
        move.first_seen_at = min(move.first_seen_at, now - status.elapsed_s)
        if _outranks(move, status) or _is_stale(move, status):
            return False
        move.status_at = now
        if status.recorded:
            move.must_record = False
        changed = (move.share, move.state) != (status.share, status.state)
        known = move.status
        changed = changed or known is None or known.recorded != status.recorded
        move.status = status
        if changed:
            share = move.share
            move.split = WeightedSplit((("new", share), ("old", 1.0 - share)))
            self.on_change(status.service)
        return changed

    def _convert_era(
        self, move: Move, status: MoveStatus, now: float
    ) -> MoveStatus:
        """Returns a status of another era as it applies to the known move.

        Era and id differ from the move's if it is not about that move.
        """
        spec = move.spec
        same = (
            status.move_id == spec.move_id
            and status.to_version == spec.to_version
        )
        if not same:
            return status
        if status.era > spec.era:
            self._renew(move, dataclasses.replace(spec, era=status.era), now)
            return status
        # A node that has not heard of the new era yet knows of an end which
        # this one does not know, and which the store may have lost.
        if status.state is MoveState.ACTIVE or move.state is not (
            MoveState.ACTIVE
        ):
            return status
        move.must_record = True
        return msgspec.structs.replace(status, era=spec.era, recorded=False)

    def known_elapsed_s(self, status: MoveStatus) -> float:
        """Returns the age of the move in the newest status; -1 without one."""
        move = self.by_service.get(status.service)
        if move is None or move.status is None:
            return -1.0
        known = move.status
        return known.elapsed_s if known.position == status.position else -1.0

    def find_renewed_end(self, status: MoveStatus) -> MoveStatus | None:
        """Returns the end of a move that a status describes as active.

        The sender may have started after the store lost the recorded end, or
        was cut off when it was announced. Without a return of the store, the
        sender reads the end from the store, and None is returned.
        """
        move = self.by_service.get(status.service)
        if move is None or move.spec.position != status.position:
            return None
        if not status.era or status.state is not MoveState.ACTIVE:
            return None
        return None if move.state is MoveState.ACTIVE else move.status

    def complete_spec(self, spec: MoveSpec) -> bool:
        """Stores a spec if its status came first; returns whether it did."""
        move = self.by_service.get(spec.service)
        if move is None or move.spec.position != spec.position:
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
