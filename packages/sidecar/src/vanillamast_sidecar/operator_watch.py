"""Follows what the operator publishes."""

import asyncio
import zlib
from collections.abc import Callable

from vanillamast_sidecar.errors import (
    InvalidConfigurationError,
    StoreError,
    StoreTruncatedError,
)
from vanillamast_sidecar.logbook import Logbook
from vanillamast_sidecar.mesh import Mesh, compress, decompress
from vanillamast_sidecar.messages import FetchOperator, OperatorState, Tick
from vanillamast_sidecar.metrics import Metrics
from vanillamast_sidecar.move_book import MoveBook
from vanillamast_sidecar.move_order import MoveOrder
from vanillamast_sidecar.move_plan import MovePlan
from vanillamast_sidecar.move_state import MoveState
from vanillamast_sidecar.peer import Peer
from vanillamast_sidecar.snapshot import Snapshot
from vanillamast_sidecar.store_port import OperatorUpdate, Store

# Length of one wait for a change, in seconds, near the longest that stores
# allow: each wait that ends without one costs a call.
WAIT_S = 28.0
# Changes that follow each other within this time are read in one call, in
# seconds; a third of the time in which they have to be in force.
COALESCE_S = 0.6
# Interval of the cheap calls that show whether the store answers, in
# seconds; half of the time in which a change has to be in force.
PROBE_INTERVAL_S = 1.0
FIRST_RETRY_S = 0.2  # Wait after the first failed call.
LONGEST_RETRY_S = 0.8  # Bounds how late the store's return is noticed.
# A change that near nodes have had for this long is fetched from one of
# them, in seconds: the own path to the store does not bring it.
OVERDUE_S = 0.3


class OperatorWatch:
    """Reads configurations and orders, from the store or from near nodes.

    Attributes:
      store: The store.
      mesh: Other nodes.
      moves: Moves of traffic.
      apply: Puts a configuration in force.
      log: Logbook.
      metrics: Metrics.
      offset: How far the operator's stream was read.
      snapshot: Newest configuration.
      packed: The same, compressed, for other nodes; empty until asked for.
      connected: Whether the store answered the last call.
      overdue_since: Since when near nodes have something newer, 0 if not.
    """

    def __init__(
        self,
        store: Store,
        mesh: Mesh,
        moves: MoveBook,
        apply: Callable[[Snapshot], None],
        log: Logbook,
        metrics: Metrics,
    ):
        self.store = store
        self.mesh = mesh
        self.moves = moves
        self.apply = apply
        self.log = log
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.offset = -1
        self.snapshot: Snapshot | None = None
        self.packed = b""
        self.connected = False
        self.overdue_since = 0.0
        mesh.on_tick = self.take_tick
        mesh.on_operator_state = self.take_state
        mesh.operator_state = self.state

    # From the store.

    async def follow(self) -> None:
        """Reads until it is cancelled."""
        failures = 0
        while True:
            try:
                if self.offset < 0 or self.snapshot is None:
                    update = await self.store.newest_operator_state()
                    await self._settle_old_orders(update.orders)
                else:
                    update = await self.store.follow_operator(
                        self.offset, WAIT_S
                    )
                failures = 0
                self._note_store(True, "")
                if self._take(update):
                    await asyncio.sleep(COALESCE_S)
                elif self.snapshot is None:
                    await asyncio.sleep(LONGEST_RETRY_S)
            except StoreTruncatedError as error:
                self.log.write(
                    "operator.truncated",
                    offset=self.offset,
                    first_offset=error.first_offset,
                )
                self.offset = -1
            except InvalidConfigurationError as error:
                self.log.write("operator.invalid", error=str(error))
                self.offset = -1
                await asyncio.sleep(LONGEST_RETRY_S)
            except StoreError as error:
                self._note_store(False, str(error))
                await self._wait_for_store(failures)
                failures += 1

    async def _wait_for_store(self, failures: int) -> None:
        """Waits until the store answers the cheapest call."""
        while True:
            wait = min(LONGEST_RETRY_S, FIRST_RETRY_S * 2 ** min(failures, 4))
            await asyncio.sleep(wait)
            failures += 1
            try:
                await self.store.probe()
            except StoreError as error:
                self._note_store(False, str(error))
                continue
            return

    async def watch_path(self) -> None:
        """Ends a wait whose connection no longer carries an answer."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if not self.connected:
                continue
            try:
                await self.store.probe()
            except StoreError as error:
                self._note_store(False, str(error))
                self.store.reset()

    def _note_store(self, connected: bool, error: str) -> None:
        if connected == self.connected:
            return
        self.connected = connected
        self.metrics.set("store_connected", float(connected))
        kind = "store.regained" if connected else "store.lost"
        self.log.write(kind, offset=self.offset, error=error)

    async def _settle_old_orders(self, orders: list[MoveOrder]) -> None:
        """Learns how moves ended that were ordered before the start."""
        if not orders:
            return
        recorded = await self.store.move_states()
        now = self.loop.time()
        for order in orders:
            state, version, order_id = recorded.states.get(
                order.service, (MoveState.ACTIVE, "", -1)
            )
            if version != order.to_version or order_id != order.order_id:
                continue
            self.moves.take_order(order, now)
            if state is not MoveState.ACTIVE:
                share = 1.0 if state is MoveState.COMPLETE else 0.0
                self.moves.take_plan(
                    MovePlan(
                        order.service,
                        order.order_id,
                        order.to_version,
                        state,
                        share,
                        0.0,
                    ),
                    now,
                )

    def _take(self, update: OperatorUpdate) -> bool:
        """Takes an update; returns whether it brought anything."""
        self.offset = max(self.offset, update.next_offset)
        self.mesh.operator_offset = max(0, self.offset)
        news = self._take_orders(update.orders)
        if update.snapshot is not None:
            news = self._take_snapshot(update.snapshot, "store") or news
        return news

    def _take_orders(self, orders: list[MoveOrder]) -> bool:
        news = False
        now = self.loop.time()
        for order in orders:
            self.moves.complete_order(order)
            if self.moves.take_order(order, now):
                news = True
                self.log.write(
                    "move.ordered",
                    service=order.service,
                    to=order.to_version,
                    over_s=order.over_s,
                    order=order.order_id,
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

    # From near nodes.

    def take_tick(self, peer: Peer, tick: Tick) -> None:
        """Fetches from a near node what the own path does not bring."""
        behind = tick.config_version > self.mesh.config_version or (
            tick.operator_offset > max(0, self.offset)
        )
        if not behind:
            self.overdue_since = 0.0
            return
        now = self.loop.time()
        if not self.overdue_since:
            self.overdue_since = now
        elif now - self.overdue_since > OVERDUE_S:
            self.overdue_since = 0.0
            if peer.link is not None:
                peer.link.send(FetchOperator())

    def state(self) -> OperatorState | None:
        """Returns what another node may take over, None if nothing."""
        if self.snapshot is None:
            return None
        if not self.packed:
            self.packed = compress(self.snapshot.raw)
        orders = [
            (
                move.order.service,
                move.order.to_version,
                move.order.over_s,
                move.order.order_id,
            )
            for move in self.moves.moves.values()
        ]
        return OperatorState(max(0, self.offset), self.packed, orders)

    def take_state(self, state: OperatorState) -> None:
        """Takes over what a near node knows."""
        try:
            snapshot = self.store.decode_snapshot(decompress(state.config))
        except (InvalidConfigurationError, zlib.error) as error:
            self.log.write("operator.invalid", error=str(error), source="peer")
            return
        self._take_snapshot(snapshot, "peer")
        self._take_orders([MoveOrder(*fields) for fields in state.orders])
        if self.offset >= 0:
            self.offset = max(self.offset, state.offset)
            self.mesh.operator_offset = self.offset
