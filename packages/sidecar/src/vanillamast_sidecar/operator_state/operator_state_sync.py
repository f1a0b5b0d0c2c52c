"""Keeps a node up to date with what the operator publishes."""

import asyncio
import dataclasses
import random

from vanillamast_sidecar.errors import (
    InvalidConfigurationError,
    StoreEraError,
    StoreError,
    StoreTruncatedError,
    StoreUnknownOutcomeError,
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
from vanillamast_sidecar.operator_state.reader_contact import ReaderContact
from vanillamast_sidecar.operator_state.reader_role import ReaderRole
from vanillamast_sidecar.operator_state.reader_timing import ReaderTiming
from vanillamast_sidecar.operator_state.store import (
    OperatorUpdate,
    ProgressHandler,
    Store,
)
from vanillamast_sidecar.operator_state.store_reader_policy import (
    StoreReaderPolicy,
)

# Wait of a standby: close to the longest one that stores allow, since each
# long poll that ends without a change costs a call.
STANDBY_POLL_S = 28.0
# Time for the answer to a read that waits for nothing, for a part of a longer
# answer, and for a new connection, which such a read may need.
READ_TIMEOUT_S = 1.2
# A reader waits this part of its longest wait, chosen at random: readers that
# begin together would else have their reads in flight at the same moments.
MIN_WAIT_FRACTION = 0.9
# Changes within this time of each other are read together; a third of the time
# in which a change has to be applied.
COALESCE_DELAY_S = 0.6
# Interval of checks whether this node has to read the store.
ROLE_CHECK_INTERVAL_S = 0.1
FIRST_RETRY_S = 0.2  # Delay after the first failed read.
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

    Two nodes of each failure domain, its hubs, read the store: a reader, on
    which the others rely, and its standby. Their reports announce their
    configuration version and offset; nodes that are behind fetch the newer
    state from them.

    Attributes:
      store: Coordination store.
      mesh: Connections to the other nodes.
      state: Newest operator state of this node.
      log: Event logger.
      metrics: Metrics.
      contact: Whether this node's reads of the store are answered.
      connected: Whether the last read was answered; None before the first.
      reader_policy: Decides how this node reads the store.
      role: How it does.
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
        timing: ReaderTiming,
    ):
        self.store = store
        self.mesh = mesh
        self.state = state
        self.log = log
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.contact = ReaderContact(timing)
        self.connected: bool | None = None
        self.reader_policy = StoreReaderPolicy(
            mesh.membership, self.loop.time(), timing
        )
        self.role = ReaderRole.NONE
        self.read_task: asyncio.Task[None] | None = None
        self.fetch_at = 0.0
        mesh.get_store_age_s = self.get_store_age_s
        mesh.on_versions = self.handle_versions
        mesh.on_operator_state = self.handle_operator_state

    # From the store.

    async def run(self) -> None:
        """Reads the store while this node has to, until it is cancelled."""
        try:
            while True:
                if self.read_task is not None and self.read_task.done():
                    self._handle_reader_failure(self.read_task)
                role = self.reader_policy.choose_role(
                    self.loop.time(), not self.mesh.wants_nodes
                )
                if role is not self.role:
                    self._change_role(role)
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
        finally:
            if self.read_task is not None:
                self.read_task.cancel()

    def get_store_age_s(self) -> float | None:
        """Returns how old this node's newest answer of the store is.

        Returns:
          The age in seconds, too high for other nodes to rely on this one if
          it is not in touch; None if it is no reader.
        """
        if self.role is not ReaderRole.READER:
            return None
        return self.contact.get_age_s(self.loop.time())

    def _change_role(self, role: ReaderRole) -> None:
        """Starts or stops to read; a new reader does not await a long poll."""
        was_reader = self.role is ReaderRole.READER
        self.role = role
        if role is ReaderRole.NONE or not was_reader:
            self._stop_reading()
        if role is not ReaderRole.NONE and self.read_task is None:
            self._start_reading()
        reads = role is not ReaderRole.NONE
        self.metrics.set("store_reader", float(reads))
        self.log.write(
            "operator.duty",
            reads=reads,
            role=role.value,
            offset=self.state.offset,
        )

    def _start_reading(self) -> None:
        # Other nodes do not rely on this one before it has read the store.
        self.contact.handle_failure()
        self.read_task = self.loop.create_task(self._read_store())

    def _stop_reading(self) -> None:
        if self.read_task is not None:
            self.read_task.cancel()
        self.read_task = None
        self.contact.handle_failure()

    def _handle_reader_failure(self, task: asyncio.Task[None]) -> None:
        """Logs an unexpected error of the read task and restarts it."""
        self.log.write("operator.reader_failed", error=repr(task.exception()))
        self._start_reading()

    async def _read_store(self) -> None:
        """Reads changes until it is cancelled."""
        failures = 0
        while True:
            try:
                update = await self._read_in_time()
                failures = 0
                changed = self.state.apply_update(update)
                self.contact.handle_answer(self.loop.time())
                self._set_connected(True, "")
                self.fetch_at = 0.0
                if changed:
                    await asyncio.sleep(COALESCE_DELAY_S)
                elif self.state.offset < 0:
                    await asyncio.sleep(MAX_RETRY_S)
            except StoreEraError as error:
                # The next read is one of the whole state, unless the answer
                # was late and of an earlier era.
                self.contact.handle_failure()
                self.log.write("operator.era_changed", error=str(error))
                await asyncio.sleep(FIRST_RETRY_S)
            except StoreTruncatedError as error:
                self.log.write(
                    "operator.truncated",
                    offset=self.state.offset,
                    first_offset=error.first_offset,
                )
                self.contact.handle_failure()
                self.state.offset = -1
            except InvalidConfigurationError as error:
                self.log.write("operator.invalid", error=str(error))
                self.contact.handle_failure()
                self.state.offset = -1
                await asyncio.sleep(MAX_RETRY_S)
            except StoreError as error:
                was_up_to_date = self.contact.up_to_date
                self.contact.handle_failure()
                self._set_connected(False, str(error))
                if not was_up_to_date:
                    await asyncio.sleep(self._choose_retry_delay(failures))
                    failures += 1

    async def _read_in_time(self) -> OperatorUpdate:
        """Reads once; gives a read up whose answer is late.

        The store may be silent on this path although it answers other calls.

        Raises:
          StoreUnknownOutcomeError: There was no answer in time.
        """
        now = self.loop.time()
        wait_s = self._choose_wait_s(now)
        if wait_s > 0.0 and self.role is ReaderRole.READER:
            limit_s = wait_s + self.contact.timing.answer_s
        else:
            limit_s = wait_s + READ_TIMEOUT_S
        try:
            async with asyncio.timeout(limit_s) as timeout:

                def handle_progress() -> None:
                    now = self.loop.time()
                    self.contact.handle_progress(now)
                    if not timeout.expired():
                        timeout.reschedule(now + READ_TIMEOUT_S)

                return await self._read_update(wait_s, handle_progress)
        except TimeoutError as error:
            raise StoreUnknownOutcomeError(
                f"no answer within {limit_s:.2f} s"
            ) from error

    def _choose_wait_s(self, now: float) -> float:
        """Returns how long the next read may wait for a change, in seconds."""
        if self.role is ReaderRole.READER:
            fraction = random.uniform(MIN_WAIT_FRACTION, 1.0)
            return self.contact.choose_wait_s(now, fraction)
        # A poll that waits does not tell that there is nothing to read.
        return STANDBY_POLL_S if self.contact.up_to_date else 0.0

    def _choose_retry_delay(self, failures: int) -> float:
        """Returns how long to wait after a failed read, in seconds.

        The first one after an answered read is repeated at once: only one
        connection may have failed.
        """
        delay_s = min(MAX_RETRY_S, FIRST_RETRY_S * 2 ** min(failures, 4))
        return delay_s * self.reader_policy.find_retry_factor()

    async def _read_update(
        self, wait_s: float, on_progress: ProgressHandler
    ) -> OperatorUpdate:
        """Reads the changes, or the whole state if there are many.

        A node that is behind thus reads about as much as one that is not,
        whatever it has missed: newer records replace older ones.

        Args:
          wait_s: Longest wait for a change, in seconds.
          on_progress: Called when a part of an answer arrives.
        """
        state = self.state
        if state.offset >= 0 and state.era == self.store.era:
            update = await self.store.poll_operator(
                state.offset, wait_s, on_progress
            )
            if not update.is_partial:
                return update
            self.contact.handle_partial_answer()
            self.metrics.count("operator_skips")
            self.log.write(
                "operator.behind",
                offset=state.offset,
                end_offset=update.end_offset,
            )
            # New moves get their states from the other nodes, as they do when
            # their records are read one by one.
            return await self.store.read_operator_state(on_progress)
        return await self._read_whole_state(on_progress)

    async def _read_whole_state(
        self, on_progress: ProgressHandler
    ) -> OperatorUpdate:
        """Reads the newest records and the recorded states of moves."""
        state = self.state
        update = await self.store.read_operator_state(on_progress)
        if not update.move_specs:
            return update
        try:
            recorded = await self.store.read_move_states()
        except StoreEraError:
            raise
        except StoreError as error:
            # Another part of the store is silent, for which the configuration
            # does not wait. The next read is one of the whole state again.
            self.log.write("operator.moves_delayed", error=str(error))
            return dataclasses.replace(
                update, move_specs=[], complete=False, next_offset=-1
            )
        if recorded.era != update.era:
            raise StoreEraError(f"states of moves of era {recorded.era}")
        state.apply_recorded_states(update.move_specs, recorded)
        return update

    def _set_connected(self, connected: bool, error: str) -> None:
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
        if not peer.same_domain and self._is_domain_in_touch(now):
            wait_s = REMOTE_FETCH_DELAY_S - PEER_FETCH_DELAY_S
        if now < self.fetch_at + wait_s:
            return
        if self.mesh.send(peer.record.address, FetchOperator()):
            # Without an answer in time, a later report triggers a retry.
            self.fetch_at = now + PEER_FETCH_DELAY_S

    def _is_domain_in_touch(self, now: float) -> bool:
        """Returns whether this failure domain gets changes from the store."""
        if self.contact.is_in_touch(now):
            return True
        return self.reader_policy.knows_reader(now)

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
