"""Keeps a node up to date with what the operator publishes."""

import asyncio
import random

from vanillamast_sidecar.errors import (
    InvalidConfigurationError,
    StoreEraError,
    StoreError,
    StoreTruncatedError,
)
from vanillamast_sidecar.membership.peer import Peer
from vanillamast_sidecar.mesh.mesh import Mesh
from vanillamast_sidecar.mesh.messages import (
    FetchOperator,
    OperatorState,
)
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.applied_operator_state import (
    AppliedOperatorState,
)
from vanillamast_sidecar.operator_state.store import OperatorUpdate, Store
from vanillamast_sidecar.operator_state.store_reader_policy import (
    READER_FRESHNESS_S,
    StoreReaderPolicy,
)

# Close to the longest wait that stores allow, since each long poll that ends
# without a change costs a call.
LONG_POLL_S = 28.0
# Changes within this time of each other are read together; a third of the time
# in which a change has to be applied.
COALESCE_DELAY_S = 0.6
# Interval of the cheap calls that check whether the store answers; a quarter
# of the time in which a change has to be applied.
PROBE_INTERVAL_S = 0.5
# Interval of checks whether this node has to read the store.
READER_CHECK_INTERVAL_S = 0.1
FIRST_RETRY_S = 0.2  # Delay after the first failed call.
MAX_RETRY_S = 0.8  # Limits how late a recovery of the store is noticed.
# A store reader fetches a change from a peer if the store has not delivered it
# this long after the peer announced it.
PEER_FETCH_DELAY_S = 0.3
# Nodes of different failure domains pass on changes only if the store does not:
# these bytes cost more. A store reader waits this long for the store.
REMOTE_FETCH_DELAY_S = 1.2
# Other nodes fetch a change after a random delay up to this one, so that the
# first of them can pass it on to the rest.
FETCH_JITTER_S = 0.2
# Delay after a peer sent a configuration that this node refuses, as nodes of
# another build may; a newer one still arrives within the bound.
REFUSED_FETCH_DELAY_S = 1.0


class OperatorStateSync:
    """Reads configurations and move specs from the store or from a peer.

    Two nodes of each failure domain, its hubs, read the store. Their reports
    announce their configuration version and offset; nodes that are behind
    fetch the newer state from them.

    Attributes:
      store: Coordination store.
      mesh: Connections to the other nodes.
      state: Newest operator state of this node.
      log: Event logger.
      metrics: Metrics.
      connected: Whether the store answered the last call.
      up_to_date: Whether the last read reached the end of the stream. Other
        nodes do not rely on this one while it is False.
      reader_policy: Decides whether this node reads the store.
      read_task: Task that reads the store, None while only other nodes do.
      fetch_at: When to fetch newer state from a peer, in loop time; 0 if no
        peer has announced any.
    """

    def __init__(
        self,
        store: Store,
        mesh: Mesh,
        state: AppliedOperatorState,
        log: EventLogger,
        metrics: Metrics,
    ):
        self.store = store
        self.mesh = mesh
        self.state = state
        self.log = log
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.connected = False
        self.up_to_date = False
        self.reader_policy = StoreReaderPolicy(
            mesh.membership, self.loop.time()
        )
        self.read_task: asyncio.Task[None] | None = None
        self.fetch_at = 0.0
        mesh.on_versions = self.handle_versions
        mesh.on_operator_state = self.handle_operator_state

    # From the store.

    async def run(self) -> None:
        """Reads the store while this node has to, until it is cancelled."""
        try:
            while True:
                now = self.loop.time()
                must_read = self.reader_policy.must_read(
                    now, not self.mesh.wants_nodes
                )
                if self.read_task is not None and self.read_task.done():
                    self._handle_reader_failure(self.read_task)
                if must_read and self.read_task is None:
                    self._start_reading(now)
                elif not must_read and self.read_task is not None:
                    self._stop_reading()
                await asyncio.sleep(READER_CHECK_INTERVAL_S)
        finally:
            if self.read_task is not None:
                self.read_task.cancel()

    def _start_reading(self, now: float) -> None:
        # Other nodes do not rely on this one before it has read the store.
        self.mesh.store_contact_at = now - READER_FRESHNESS_S
        self.up_to_date = False
        self.read_task = self.loop.create_task(self._read_store())
        self._report_reader_state(True)

    def _stop_reading(self) -> None:
        if self.read_task is not None:
            self.read_task.cancel()
        self.read_task = None
        self.mesh.store_contact_at = None
        self._report_reader_state(False)

    def _handle_reader_failure(self, task: asyncio.Task[None]) -> None:
        """Logs an unexpected error of the read task; `run` restarts it."""
        self.read_task = None
        self.log.write("operator.reader_failed", error=repr(task.exception()))

    def _report_reader_state(self, reads: bool) -> None:
        self.metrics.set("store_reader", float(reads))
        self.log.write("operator.duty", reads=reads, offset=self.state.offset)

    async def _read_store(self) -> None:
        """Polls the store and probes the connection to it."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_store())
            group.create_task(self._probe_store())

    async def _poll_store(self) -> None:
        """Reads changes by long polls until it is cancelled."""
        failures = 0
        while True:
            try:
                if not self.connected:
                    # A long poll on a silent store would hang, and the
                    # connection is monitored only while the store answers.
                    await self.store.probe()
                    self._set_connected(True, "")
                update = await self._read_update()
                failures = 0
                changed = self.state.apply_update(update)
                self.up_to_date = True
                self._set_connected(True, "")
                self.fetch_at = 0.0
                if changed:
                    await asyncio.sleep(COALESCE_DELAY_S)
            except StoreEraError as error:
                # The next read is one of the whole state, unless the answer
                # was late and of an earlier era.
                self.up_to_date = False
                self.log.write("operator.era_changed", error=str(error))
                await asyncio.sleep(FIRST_RETRY_S)
            except StoreTruncatedError as error:
                self.log.write(
                    "operator.truncated",
                    offset=self.state.offset,
                    first_offset=error.first_offset,
                )
                self.up_to_date = False
                self.state.offset = -1
            except InvalidConfigurationError as error:
                self.log.write("operator.invalid", error=str(error))
                self.state.offset = -1
                await asyncio.sleep(MAX_RETRY_S)
            except StoreError as error:
                self._set_connected(False, str(error))
                await self._wait_for_store(failures)
                failures += 1

    async def _read_update(self) -> OperatorUpdate:
        """Reads the changes, or the whole state if there are many.

        A node that is behind thus reads about as much as one that is not,
        whatever it has missed: newer records replace older ones.
        """
        state = self.state
        if state.offset >= 0 and state.era == self.store.era:
            # A long poll does not tell that there is nothing to read.
            wait_s = LONG_POLL_S if self.up_to_date else 0.0
            update = await self.store.poll_operator(state.offset, wait_s)
            if not update.is_partial:
                return update
            self.up_to_date = False
            self.metrics.count("operator_skips")
            self.log.write(
                "operator.behind",
                offset=state.offset,
                end_offset=update.end_offset,
            )
            # New moves get their states from the other nodes, as they do when
            # their records are read one by one.
            return await self.store.read_operator_state()
        return await self._read_whole_state()

    async def _read_whole_state(self) -> OperatorUpdate:
        """Reads the newest records and the recorded states of moves."""
        state = self.state
        update = await self.store.read_operator_state()
        if update.move_specs:
            recorded = await self.store.read_move_states()
            if recorded.era != update.era:
                raise StoreEraError(f"states of moves of era {recorded.era}")
            state.apply_recorded_states(update.move_specs, recorded)
        return update

    async def _wait_for_store(self, failures: int) -> None:
        """Probes the store with exponential backoff until it answers."""
        while True:
            wait = min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** min(failures, 4))
            await asyncio.sleep(wait)
            failures += 1
            try:
                await self.store.probe()
            except StoreError as error:
                self._set_connected(False, str(error))
                continue
            self._set_connected(True, "")
            return

    async def _probe_store(self) -> None:
        """Aborts long polls on connections that no longer work."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_S)
            if not self.connected:
                continue
            if self.store.receiving:
                # On a slow link, a probe would wait behind the response.
                self._set_connected(True, "")
                continue
            try:
                await self.store.probe()
            except StoreError as error:
                self._set_connected(False, str(error))
                self.store.reset()
            else:
                self._set_connected(True, "")

    def _set_connected(self, connected: bool, error: str) -> None:
        if not connected:
            self.up_to_date = False
        elif self.up_to_date and self.mesh.store_contact_at is not None:
            self.mesh.store_contact_at = self.loop.time()
        if connected == self.connected:
            return
        self.connected = connected
        self.metrics.set("store_connected", float(connected))
        kind = "store.regained" if connected else "store.lost"
        self.log.write(kind, offset=self.state.offset, error=error)

    # From other nodes.

    def handle_versions(
        self,
        peer: Peer,
        config_version: int,
        operator_offset: int,
        operator_era: int = 0,
    ) -> None:
        """Fetches newer state from a peer that has it."""
        behind = config_version > self.mesh.config_version or (
            (operator_era, operator_offset)
            > (self.state.era, max(0, self.state.offset))
        )
        now = self.loop.time()
        if not behind:
            return
        if not self.fetch_at:
            self.fetch_at = now + self._choose_fetch_delay()
        wait_s = 0.0
        if not peer.same_domain and self.connected:
            wait_s = REMOTE_FETCH_DELAY_S - PEER_FETCH_DELAY_S
        if now < self.fetch_at + wait_s:
            return
        if self.mesh.send(peer.record.address, FetchOperator()):
            # Without an answer in time, a later report triggers a retry.
            self.fetch_at = now + PEER_FETCH_DELAY_S

    def _choose_fetch_delay(self) -> float:
        """Returns how long to wait for a newer state from the store, if any."""
        if self.state.snapshot is None:
            return 0.0
        if self.read_task is None:
            return random.uniform(0.0, FETCH_JITTER_S)
        return PEER_FETCH_DELAY_S

    def handle_operator_state(self, message: OperatorState) -> None:
        """Applies the state that a peer has sent."""
        # A node that the store refuses learns of its era here.
        self.store.note_era(message.era)
        if message.config:
            # Evacuations alone are no answer to a fetch.
            self.fetch_at = 0.0
        if not self.state.apply_peer_state(message):
            self.fetch_at = self.loop.time() + REFUSED_FETCH_DELAY_S
