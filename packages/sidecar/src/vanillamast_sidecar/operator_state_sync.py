"""Follows what the operator publishes."""

import asyncio
import random

from vanillamast_sidecar.applied_operator_state import AppliedOperatorState
from vanillamast_sidecar.errors import (
    InvalidConfigurationError,
    StoreError,
    StoreTruncatedError,
)
from vanillamast_sidecar.event_logger import EventLogger
from vanillamast_sidecar.mesh import Mesh
from vanillamast_sidecar.messages import (
    FetchOperator,
    NodeHeartbeat,
    OperatorState,
)
from vanillamast_sidecar.metrics import Metrics
from vanillamast_sidecar.peer import Peer
from vanillamast_sidecar.store import Store
from vanillamast_sidecar.store_reader_policy import (
    READER_FRESHNESS_S,
    StoreReaderPolicy,
)

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


class OperatorStateSync:
    """Reads configurations and orders, from the store or from near nodes.

    Two nodes of each failure domain read the store and tell their versions
    in their ticks; the others fetch what is newer from a near node.

    Attributes:
      store: The store.
      mesh: Other nodes.
      view: What this node knows.
      log: Event logger.
      metrics: Metrics.
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
        view: AppliedOperatorState,
        log: EventLogger,
        metrics: Metrics,
    ):
        self.store = store
        self.mesh = mesh
        self.view = view
        self.log = log
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.connected = False
        self.duty = StoreReaderPolicy(mesh.membership)
        self.reading: asyncio.Task[None] | None = None
        self.fetch_at = 0.0
        mesh.on_heartbeat = self.handle_node_heartbeat
        mesh.on_operator_state = self.handle_operator_state

    # From the store.

    async def run(self) -> None:
        """Reads the store while it is this node's duty."""
        try:
            while True:
                now = self.loop.time()
                must_read = self.view.offset < 0 or self.duty.must_read(now)
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
        self.mesh.store_contact_at = now - READER_FRESHNESS_S
        self.reading = self.loop.create_task(self._read())
        self._log_duty(True)

    def _stop_reading(self) -> None:
        if self.reading is not None:
            self.reading.cancel()
        self.reading = None
        self.mesh.store_contact_at = None
        self._log_duty(False)

    def _note_reader_failed(self, task: asyncio.Task[None]) -> None:
        """Logs a defect that ended the reading; it starts again."""
        self.reading = None
        self.log.write("operator.reader_failed", error=repr(task.exception()))

    def _log_duty(self, reads: bool) -> None:
        self.metrics.set("store_reader", float(reads))
        self.log.write("operator.duty", reads=reads, offset=self.view.offset)

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
                if self.view.offset < 0:
                    update = await self.store.read_operator_state()
                    if update.move_specs:
                        recorded = await self.store.read_move_states()
                        self.view.apply_recorded_states(
                            update.move_specs, recorded
                        )
                else:
                    update = await self.store.poll_operator(
                        self.view.offset, WAIT_S
                    )
                failures = 0
                self._note_store(True, "")
                self.fetch_at = 0.0
                if self.view.apply_update(update):
                    await asyncio.sleep(COALESCE_S)
            except StoreTruncatedError as error:
                self.log.write(
                    "operator.truncated",
                    offset=self.view.offset,
                    first_offset=error.first_offset,
                )
                self.view.offset = -1
            except InvalidConfigurationError as error:
                self.log.write("operator.invalid", error=str(error))
                self.view.offset = -1
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
        if connected and self.mesh.store_contact_at is not None:
            self.mesh.store_contact_at = self.loop.time()
        if connected == self.connected:
            return
        self.connected = connected
        self.metrics.set("store_connected", float(connected))
        kind = "store.regained" if connected else "store.lost"
        self.log.write(kind, offset=self.view.offset, error=error)

    # From near nodes.

    def handle_node_heartbeat(self, peer: Peer, tick: NodeHeartbeat) -> None:
        """Fetches from a near node what the own path does not bring."""
        behind = tick.config_version > self.mesh.config_version or (
            tick.operator_offset > max(0, self.view.offset)
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

    def handle_operator_state(self, state: OperatorState) -> None:
        """Takes over what a near node knows."""
        self.fetch_at = 0.0
        self.view.apply_peer_state(state)
