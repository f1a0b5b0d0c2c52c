"""Follows what the operator publishes."""

import asyncio
import random
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
from vanillamast_sidecar.reader_duty import FRESH_S, ReaderDuty
from vanillamast_sidecar.snapshot import Snapshot
from vanillamast_sidecar.store_port import OperatorUpdate, Store

# Length of one wait for a change, in seconds, near the longest that stores
# allow: each wait that ends without one costs a call.
WAIT_S = 28.0
# Changes that follow each other within this time are read in one call, in
# seconds; a third of the time in which they have to be in force.
COALESCE_S = 0.6
# Interval of the cheap calls that show whether the store answers, in
# seconds; a quarter of the time in which a change has to be in force.
PROBE_INTERVAL_S = 0.5
# Interval of checks whether this node has to read, in seconds.
DUTY_INTERVAL_S = 0.1
FIRST_RETRY_S = 0.2  # Wait after the first failed call.
LONGEST_RETRY_S = 0.8  # Bounds how late the store's return is noticed.
# A change that near nodes have had for this long is fetched from one of
# them, in seconds: the own path to the store does not bring it.
OVERDUE_S = 0.3
# Nodes that do not read fetch a change within this time, in seconds, so that
# the first ones to have it help to hand it on.
FETCH_SPREAD_S = 0.2


class OperatorWatch:
    """Reads configurations and orders, from the store or from near nodes.

    Two nodes of each failure domain read the store and tell their versions
    in their ticks; the others fetch what is newer from a near node.

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
      duty: Decides whether this node reads the store.
      reading: The task that reads the store, None while others do.
      fetch_at: When to fetch what near nodes have, in loop time; 0 if they
        have nothing newer.
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
        self.duty = ReaderDuty(mesh.directory)
        self.reading: asyncio.Task[None] | None = None
        self.fetch_at = 0.0
        mesh.on_tick = self.take_tick
        mesh.on_operator_state = self.take_state
        mesh.operator_state = self.state

    # From the store.

    async def keep(self) -> None:
        """Reads the store while it is this node's duty."""
        try:
            while True:
                now = self.loop.time()
                must_read = self.offset < 0 or self.duty.must_read(now)
                if self.reading is not None and self.reading.done():
                    self._note_reader_failed(self.reading)
                if must_read and self.reading is None:
                    self._start_reading(now)
                elif not must_read and self.reading is not None:
                    self._stop_reading()
                await asyncio.sleep(DUTY_INTERVAL_S)
        finally:
            if self.reading is not None:
                self.reading.cancel()

    def _start_reading(self, now: float) -> None:
        # Nobody relies on this node before the store has answered it.
        self.mesh.store_heard_at = now - FRESH_S
        self.reading = self.loop.create_task(self._read())
        self._log_duty(True)

    def _stop_reading(self) -> None:
        if self.reading is not None:
            self.reading.cancel()
        self.reading = None
        self.mesh.store_heard_at = None
        self._log_duty(False)

    def _note_reader_failed(self, task: asyncio.Task[None]) -> None:
        """Logs a defect that ended the reading; it starts again."""
        self.reading = None
        self.log.write("operator.reader_failed", error=repr(task.exception()))

    def _log_duty(self, reads: bool) -> None:
        self.metrics.set("store_reader", float(reads))
        self.log.write("operator.duty", reads=reads, offset=self.offset)

    async def _read(self) -> None:
        """Follows the store and checks the path to it."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow())
            group.create_task(self._watch_path())

    async def _follow(self) -> None:
        """Reads until it is cancelled."""
        failures = 0
        while True:
            try:
                if self.offset < 0:
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
            self._note_store(True, "")
            return

    async def _watch_path(self) -> None:
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
            else:
                self._note_store(True, "")

    def _note_store(self, connected: bool, error: str) -> None:
        if connected and self.mesh.store_heard_at is not None:
            self.mesh.store_heard_at = self.loop.time()
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
                        recorded=True,
                    ),
                    now,
                )

    def _take(self, update: OperatorUpdate) -> bool:
        """Takes an update; returns whether it brought anything."""
        self.offset = max(self.offset, update.next_offset)
        self.mesh.operator_offset = max(0, self.offset)
        self.fetch_at = 0.0
        news = self._take_orders(update.orders)
        if update.snapshot is not None:
            news = self._take_snapshot(update.snapshot, "store") or news
        return news

    def _take_orders(self, orders: list[MoveOrder]) -> bool:
        news = False
        now = self.loop.time()
        for order in orders:
            completed = self.moves.complete_order(order)
            if completed or self.moves.take_order(order, now):
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
        now = self.loop.time()
        if not behind:
            return
        if not self.fetch_at:
            wait_s = OVERDUE_S
            if self.reading is None:
                wait_s = random.uniform(0.0, FETCH_SPREAD_S)
            self.fetch_at = now + wait_s
        if now >= self.fetch_at and peer.link is not None:
            # Another node is asked if the answer does not come in time.
            self.fetch_at = now + OVERDUE_S
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
            if move.order.over_s > 0.0
        ]
        plans = [
            move.plan
            for move in self.moves.moves.values()
            if move.plan is not None
        ]
        return OperatorState(max(0, self.offset), self.packed, orders, plans)

    def take_state(self, state: OperatorState) -> None:
        """Takes over what a near node knows."""
        try:
            snapshot = self.store.decode_snapshot(decompress(state.config))
        except (InvalidConfigurationError, zlib.error) as error:
            self.log.write("operator.invalid", error=str(error), source="peer")
            return
        self.fetch_at = 0.0
        self._take_snapshot(snapshot, "peer")
        self._take_orders([MoveOrder(*fields) for fields in state.orders])
        now = self.loop.time()
        for plan in state.plans:
            self.moves.take_plan(plan, now)
        if state.offset > 0:
            self.offset = max(self.offset, state.offset)
            self.mesh.operator_offset = self.offset
