"""What a node knows of the operator's stream."""

import asyncio
import zlib
from collections.abc import Callable

from vanillamast_sidecar.errors import InvalidConfigurationError
from vanillamast_sidecar.event_logger import EventLogger
from vanillamast_sidecar.mesh import Mesh
from vanillamast_sidecar.messages import OperatorState
from vanillamast_sidecar.metrics import Metrics
from vanillamast_sidecar.move_spec import MoveSpec
from vanillamast_sidecar.move_state import MoveState
from vanillamast_sidecar.move_status import MoveStatus
from vanillamast_sidecar.move_table import MoveTable
from vanillamast_sidecar.snapshot import Snapshot
from vanillamast_sidecar.store import MoveStates, OperatorUpdate


class AppliedOperatorState:
    """Newest configuration and orders, whoever brought them.

    Attributes:
      mesh: Other nodes, which are told how far this one is.
      moves: Moves of traffic.
      apply: Puts a configuration in force.
      decode: Decodes a configuration that another node handed on.
      log: Event logger.
      metrics: Metrics.
      offset: How far the operator's stream was read, -1 before.
      snapshot: Newest configuration.
      packed: The same, compressed, for other nodes; empty until asked for.
    """

    def __init__(
        self,
        mesh: Mesh,
        moves: MoveTable,
        apply: Callable[[Snapshot], None],
        decode: Callable[[bytes], Snapshot],
        log: EventLogger,
        metrics: Metrics,
    ):
        self.mesh = mesh
        self.moves = moves
        self.apply = apply
        self.decode = decode
        self.log = log
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.offset = -1
        self.snapshot: Snapshot | None = None
        self.packed = b""
        mesh.get_operator_state = self.to_message

    # From the store.

    def apply_recorded_states(
        self, orders: list[MoveSpec], recorded: MoveStates
    ) -> None:
        """Learns how moves ended that were ordered before the start."""
        now = self.loop.time()
        for order in orders:
            state, version, move_id = recorded.states.get(
                order.service, (MoveState.ACTIVE, "", -1)
            )
            if version != order.to_version or move_id != order.move_id:
                continue
            self.moves.add_spec(order, now)
            if state is not MoveState.ACTIVE:
                share = 1.0 if state is MoveState.COMPLETE else 0.0
                self.moves.apply_status(
                    MoveStatus(
                        order.service,
                        order.move_id,
                        order.to_version,
                        state,
                        share,
                        0.0,
                        recorded=True,
                    ),
                    now,
                )

    def apply_update(self, update: OperatorUpdate) -> bool:
        """Takes an update; returns whether it brought anything."""
        self.offset = max(self.offset, update.next_offset)
        self.mesh.operator_offset = max(0, self.offset)
        news = self._take_orders(update.move_specs)
        if update.snapshot is not None:
            news = self._take_snapshot(update.snapshot, "store") or news
        return news

    def _take_orders(self, orders: list[MoveSpec]) -> bool:
        news = False
        now = self.loop.time()
        for order in orders:
            completed = self.moves.complete_spec(order)
            if completed or self.moves.add_spec(order, now):
                news = True
                self.log.write(
                    "move.ordered",
                    service=order.service,
                    to=order.to_version,
                    over_s=order.over_s,
                    order=order.move_id,
                )
        return news

    def _take_snapshot(self, snapshot: Snapshot, source: str) -> bool:
        """Puts a newer configuration in force; never goes back."""
        known = self.snapshot
        if known is not None and snapshot.version <= known.version:
            return False
        self.snapshot = snapshot
        self.packed = b""
        self.apply(snapshot)
        self.mesh.config_version = snapshot.version
        self.metrics.set("config_version", snapshot.version)
        self.log.write(
            "config.applied",
            version=snapshot.version,
            previous=known.version if known is not None else -1,
            routes=len(snapshot.routes),
            source=source,
        )
        return True

    # From and to near nodes.

    def to_message(self) -> OperatorState | None:
        """Returns what another node may take over, None if nothing."""
        if self.snapshot is None:
            return None
        if not self.packed:
            self.packed = compress(self.snapshot.raw)
        orders = [
            (
                move.spec.service,
                move.spec.to_version,
                move.spec.over_s,
                move.spec.move_id,
            )
            for move in self.moves.by_service.values()
            if move.spec.over_s > 0.0
        ]
        return OperatorState(
            max(0, self.offset), self.packed, orders, self.moves.statuses()
        )

    def apply_peer_state(self, state: OperatorState) -> None:
        """Takes over what a near node knows."""
        try:
            snapshot = self.decode(decompress(state.config))
        except (InvalidConfigurationError, zlib.error) as error:
            self.log.write("operator.invalid", error=str(error), source="peer")
            return
        self._take_snapshot(snapshot, "peer")
        self._take_orders([MoveSpec(*fields) for fields in state.move_specs])
        now = self.loop.time()
        for plan in state.move_statuses:
            self.moves.apply_status(plan, now)
        if state.offset > 0:
            self.offset = max(self.offset, state.offset)
            self.mesh.operator_offset = self.offset


def compress(raw: bytes) -> bytes:
    """Packs a configuration for the way between nodes."""
    return zlib.compress(raw, 6)


def decompress(data: bytes) -> bytes:
    """Unpacks a configuration.

    Raises:
      zlib.error: The bytes are damaged.
    """
    return zlib.decompress(data)
