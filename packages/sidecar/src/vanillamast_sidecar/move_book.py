"""Orders and plans of moves, as one node knows them."""

import dataclasses
from collections.abc import Callable

from vanillamast_sidecar.instance_record import InstanceRecord
from vanillamast_sidecar.move_order import MoveOrder
from vanillamast_sidecar.move_plan import MovePlan
from vanillamast_sidecar.move_state import MoveState
from vanillamast_sidecar.version_evidence import VersionEvidence
from vanillamast_sidecar.weighted_split import WeightedSplit

# A completed move beats a taken back one: its old servers are gone.
_RANK = {MoveState.ACTIVE: 0, MoveState.REVERTED: 1, MoveState.COMPLETE: 2}


@dataclasses.dataclass(slots=True)
class Move:
    """A move that a node knows.

    Attributes:
      order: The operator's order.
      seen_at: When it was seen first, in loop time.
      plan: Newest plan, None before the driver's first one.
      planned_at: When the newest plan came, in loop time.
      chooser: Chooses between the versions by the plan's share.
      evidence: Outcomes at this node's own server, None without any.
    """

    order: MoveOrder
    seen_at: float
    plan: MovePlan | None = None
    planned_at: float = 0.0
    chooser: WeightedSplit | None = None
    evidence: VersionEvidence | None = None

    @property
    def state(self) -> MoveState:
        """Returns how far the move is."""
        return MoveState.ACTIVE if self.plan is None else self.plan.state

    @property
    def share(self) -> float:
        """Returns the share that the new version gets now."""
        if self.plan is None:
            return 0.0
        if self.plan.state is MoveState.REVERTED:
            return 0.0
        if self.plan.state is MoveState.COMPLETE:
            return 1.0
        return self.plan.share


class MoveBook:
    """Which versions of a service take requests.

    Attributes:
      moves: The newest move of each service.
      on_change: Called with a service whose plan changed.
    """

    def __init__(self, on_change: Callable[[str], None]):
        self.moves: dict[str, Move] = {}
        self.on_change = on_change

    def take_order(self, order: MoveOrder, now: float) -> bool:
        """Takes an order; returns whether it is new."""
        known = self.moves.get(order.service)
        if known is not None and known.order.order_id >= order.order_id:
            return False
        self.moves[order.service] = Move(order, now)
        self.on_change(order.service)
        return True

    def take_plan(self, plan: MovePlan, now: float) -> bool:
        """Takes a plan of the move's driver; returns whether it is news."""
        move = self.moves.get(plan.service)
        if move is None or move.order.order_id < plan.order_id:
            # The plan overtook the order.
            order = MoveOrder(plan.service, plan.to_version, 0.0, plan.order_id)
            move = Move(order, now)
            self.moves[plan.service] = move
        if move.order.order_id > plan.order_id:
            return False
        move.seen_at = min(move.seen_at, now - plan.elapsed_s)
        if not plan.recorded and _overrides(move, plan):
            return False
        move.planned_at = now
        news = (move.share, move.state) != (plan.share, plan.state)
        known = move.plan
        news = news or known is None or known.recorded != plan.recorded
        move.plan = plan
        if news:
            share = move.share
            move.chooser = WeightedSplit((("new", share), ("old", 1.0 - share)))
            self.on_change(plan.service)
        return news

    def complete_order(self, order: MoveOrder) -> bool:
        """Fills in an order that a plan overtook; returns whether it did."""
        move = self.moves.get(order.service)
        if move is None or move.order.order_id != order.order_id:
            return False
        if move.order.over_s > 0.0 or order.over_s <= 0.0:
            return False
        move.order = order
        return True

    def plans(self) -> list[MovePlan]:
        """Returns the newest plan of each move that has one."""
        plans = (move.plan for move in self.moves.values())
        return [plan for plan in plans if plan is not None]

    def prefers_new(self, service: str) -> bool | None:
        """Returns whether the next request goes to the new version.

        Returns:
          None if the service has no move.
        """
        move = self.moves.get(service)
        if move is None:
            return None
        if move.chooser is None or move.share <= 0.0:
            return False
        return move.share >= 1.0 or move.chooser.choose() == "new"

    def old_is_open(self, service: str) -> bool:
        """Returns whether the old version of a move still has a share."""
        move = self.moves.get(service)
        return move is not None and move.share < 1.0

    def is_new(self, record: InstanceRecord) -> bool:
        """Returns whether a server is of a move's new version."""
        move = self.moves.get(record.service)
        return move is not None and record.version == move.order.to_version

    def open_at_server(self, record: InstanceRecord) -> bool:
        """Returns whether a server may be sent requests at all."""
        move = self.moves.get(record.service)
        if move is None:
            return True
        if record.version == move.order.to_version:
            return move.share > 0.0
        return move.share < 1.0

    def record(
        self,
        record: InstanceRecord,
        route: str,
        failed: bool,
        duration_s: float,
        cold: bool,
    ) -> None:
        """Counts the end of a request at this node's own server."""
        move = self.moves.get(record.service)
        if move is None or move.state is not MoveState.ACTIVE:
            return
        if cold and not failed:
            return
        evidence = move.evidence
        if evidence is None or evidence.version != record.version:
            evidence = VersionEvidence(record.version, {})
            move.evidence = evidence
        evidence.add(route, failed, duration_s)


def _overrides(move: Move, plan: MovePlan) -> bool:
    """Returns whether what a move knows goes before an unrecorded plan."""
    if move.plan is not None and move.plan.recorded:
        return True
    return _RANK[plan.state] < _RANK[move.state]
