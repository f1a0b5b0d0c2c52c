"""A sidecar node: the tasks, listeners and state of one process."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec

from vanillamast_sidecar.admission.server_executor import ServerExecutor
from vanillamast_sidecar.crashes.crash_suspects import CrashSuspects
from vanillamast_sidecar.crashes.server_end import ServerEnd
from vanillamast_sidecar.errors import (
    FrameError,
    InvalidHeartbeatError,
    InvalidSettingsError,
    StoreError,
)
from vanillamast_sidecar.http.body_room import get_body_room
from vanillamast_sidecar.http.byte_budget import ByteBudget
from vanillamast_sidecar.http.caller_limits import CallerLimits
from vanillamast_sidecar.http.connection_limits import get_connection_limits
from vanillamast_sidecar.http.http_listener import Handler, HttpListener
from vanillamast_sidecar.http.http_message import HttpRequest, HttpResponse
from vanillamast_sidecar.http.memory_account import MemoryAccount
from vanillamast_sidecar.http.memory_costs import get_memory_room
from vanillamast_sidecar.http.memory_pool import MemoryPool
from vanillamast_sidecar.membership.facts_recorder import FactsRecorder
from vanillamast_sidecar.membership.heartbeat import Heartbeat
from vanillamast_sidecar.membership.instance_facts import Facts
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.membership.node_record_check import find_defect
from vanillamast_sidecar.membership.record_restorer import RecordRestorer
from vanillamast_sidecar.membership.restore_delay import choose_restore_delay
from vanillamast_sidecar.membership.server_api import Deregistration, ServerApi
from vanillamast_sidecar.membership.server_registry import ServerRegistry
from vanillamast_sidecar.mesh.mesh import Mesh
from vanillamast_sidecar.mesh.messages import Records
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.applied_operator_state import (
    AppliedOperatorState,
)
from vanillamast_sidecar.operator_state.evacuation import Evacuation
from vanillamast_sidecar.operator_state.evacuations import Evacuations
from vanillamast_sidecar.operator_state.operator_state_sync import (
    OperatorStateSync,
)
from vanillamast_sidecar.operator_state.reader_timing import ReaderTiming
from vanillamast_sidecar.operator_state.snapshot import Snapshot
from vanillamast_sidecar.operator_state.store import Store
from vanillamast_sidecar.rollouts.move_controller import MoveController
from vanillamast_sidecar.rollouts.move_table import MoveTable
from vanillamast_sidecar.routing.gateway import Gateway
from vanillamast_sidecar.routing.server_selector import ServerSelector
from vanillamast_sidecar.settings import Address, SidecarSettings
from vanillamast_sidecar.settings_source import SettingsSource
from vanillamast_sidecar.shutdown_policy import ShutdownPolicy

# Interval of the checks for missing heartbeats, suspension and new settings.
CHECK_INTERVAL_S = 0.25
# The machine was suspended if the boot clock gained this much on the
# monotonic clock between two checks.
MIN_SUSPENSION_S = 0.3
NODES_RETRY_DELAY_S = 0.5
# Longest wait for the store before a departure is acknowledged; a server waits
# a second for the acknowledgement.
DEPARTURE_WAIT_S = 0.5
# Delay before a task that failed with an unexpected error is started again.
TASK_RESTART_DELAY_S = 0.1
# A node without a connection reads the list again after this time: the nodes
# in the list may be gone, or others may have started at the same moment.
ALONE_RETRY_DELAY_S = 1.0
# Finds nodes that were added meanwhile and have not connected to this one.
NODES_REFRESH_INTERVAL_S = 120.0
# Intervals at which a shutdown checks whether requests are in progress.
STOP_CHECK_INTERVAL_S = 0.05
CLOSE_CHECK_INTERVAL_S = 0.01
# Part of the memory for callers that each other listener has: a crowd there
# takes nothing from callers, and callers nothing from heartbeats.
SMALL_LISTENER_PART = 16
# Parts of that memory that requests of other nodes leave to callers, and
# callers to requests of other nodes. The largest legal request of a caller
# still fits beside the second one.
CALLER_PART = 8
PEER_PART = 64
# Heartbeats have less than a kilobyte.
MAX_SMALL_BODY_BYTES = 262_144
OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503


class Node:
    """Connects the parts of a node and runs them until the stop signal.

    Attributes:
      settings: Settings of the node.
      store: The store.
      server_api: Decodes the calls of the local server.
      source: Source of the settings.
      fingerprint: Fingerprint of the settings that were last read.
      servers: Listeners by what they serve.
      log: Event logger.
      metrics: Metrics.
      registry: State of the local server.
      facts_recorder: Records in the store what is certain of the server.
      restorer: Writes the node's record again when the store lost it.
      registered: Whether the store has had the node's record.
      moves: Moves of traffic between server versions.
      suspects: Requests under which servers have ended.
      evacuations: Failure domains that the operator has evacuated.
      executor: Runs requests on the local server.
      mesh: Connections to the other nodes.
      gateway: Handles the requests of the machine's callers.
      memory: Memory for what callers and other nodes send.
      callers: Listener for those callers.
      operator_sync: Follows the operator's configuration and moves.
      move_controller: Carries out moves.
      nodes_known: Whether the list of nodes has been read.
      stop_requested: Set by SIGTERM.
      reload_requested: Set by SIGHUP: the settings may have changed.
      stopping: Whether the node shuts down.
      shutdown_policy: When a shutdown may close and exit; None before it.
      serves_while_stopping: Whether other nodes use the server meanwhile.
      readiness_refusals: Failed readiness checks since the stop signal.
      suspended_s: Total time that the machine was suspended, at the last
        check.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        store: Store,
        server_api: ServerApi,
        source: SettingsSource,
        log: EventLogger,
    ):
        self.settings = settings
        self.store = store
        self.server_api = server_api
        self.source = source
        self.fingerprint = source.fingerprint()
        self.servers: dict[str, asyncio.Server] = {}
        self.log = log
        self.loop = asyncio.get_running_loop()
        self.metrics = Metrics()
        self.registry = ServerRegistry(settings.heartbeat_s)
        self.facts_recorder = FactsRecorder(
            store, self._make_stored_record, self._choose_write_delay, log
        )
        self.restorer = RecordRestorer(
            self._write_own_record, self._choose_write_delay, log
        )
        self.registered = False
        store.on_era = self._handle_store_era
        self.moves = MoveTable(self._handle_version_change)
        self.suspects = CrashSuspects(settings.crashes, random.Random())
        self.evacuations = Evacuations()
        self.executor = ServerExecutor(
            settings,
            self.registry,
            self.moves,
            log,
            self.metrics,
            self._handle_server_unreachable,
            lambda: self._handle_server_change("response"),
            self.suspects,
            self._handle_server_end,
            self.evacuations,
        )
        record = NodeRecord(
            str(settings.peer_listener),
            settings.failure_domain,
            int(time.time() * 1000),
            0,
            False,
            None,
        )
        self.mesh = Mesh(
            settings,
            record,
            self.moves,
            self.executor.run,
            self.executor.get_load,
            log,
            self.metrics,
        )
        self.mesh.on_facts = self._handle_facts
        self.mesh.on_server_end = self._apply_server_end
        self.mesh.refuse_if_busy = self.executor.refuse_if_busy
        self.gateway = Gateway(
            settings,
            self.mesh,
            self.executor,
            ServerSelector(self.moves, random.Random(), self.evacuations),
            self.suspects,
            log,
            self.metrics,
            self.evacuations,
        )
        limits = get_connection_limits(settings.max_fds)
        room = get_memory_room(settings.memory_bytes)
        self.memory = MemoryPool(room)
        caller_memory = self.memory.open(room // CALLER_PART)
        peer_memory = self.memory.open(room // PEER_PART)
        self.executor.account = peer_memory
        self.mesh.limiter.account = peer_memory
        self.mesh.links.account = caller_memory
        self.mesh.refuse_for_memory = self.executor.refuse_for_memory
        self.callers = HttpListener(
            self.gateway.handle_request,
            body_budget=ByteBudget(get_body_room(settings.memory_bytes)),
            account=caller_memory,
            max_connections=limits.callers,
            on_limit=partial(self._handle_client_limit, "caller"),
        )
        self.mesh.limiter.max_connections = limits.peers
        self.mesh.limiter.on_limit = partial(self._handle_client_limit, "peer")
        operator_state = AppliedOperatorState(
            self.mesh,
            self.moves,
            self._apply_snapshot,
            store.decode_snapshot,
            log,
            self.metrics,
            self.evacuations,
            self._handle_evacuation,
        )
        self.operator_sync = OperatorStateSync(
            store,
            self.mesh,
            operator_state,
            log,
            self.metrics,
            ReaderTiming.from_apply_s(settings.bounds.apply_s),
        )
        self.move_controller = MoveController(
            self.mesh, self.moves, self.executor, store, log, self.metrics
        )
        self.nodes_known = False
        self.stop_requested = asyncio.Event()
        self.reload_requested = asyncio.Event()
        self.stopping = False
        self.shutdown_policy: ShutdownPolicy | None = None
        self.serves_while_stopping = False
        self.readiness_refusals = 0
        self.suspended_s = _total_suspended_s()

    async def run(self) -> int:
        """Runs until SIGTERM; returns the exit status."""
        self.loop.set_exception_handler(self._log_exception)
        self.loop.add_signal_handler(signal.SIGTERM, self.stop_requested.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload_requested.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        await self._listen(self.settings)
        self.log.write(
            "node.started",
            address=str(self.settings.peer_listener),
            failure_domain=self.settings.failure_domain,
            service=self.settings.service,
        )
        tasks = [
            self.loop.create_task(self._supervise(work))
            for work in (
                self.mesh.run,
                self.operator_sync.run,
                self.move_controller.run,
                self._sync_nodes,
                self.restorer.run,
                self._run_checks,
            )
        ]
        await self.stop_requested.wait()
        await self._complete(self._stop)
        for task in tasks:
            task.cancel()
        for server in self.servers.values():
            server.close()
        self.log.write("node.stopped", active=self.callers.active_requests)
        self.log.flush()
        return 0

    async def _supervise(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs a task for ever; logs an unexpected error and starts it again.

        The task would else end unnoticed while the process seems sound.
        """
        while True:
            try:
                await work()
            except Exception as error:
                self._log_failed_task(work, error)
            await asyncio.sleep(TASK_RESTART_DELAY_S)

    async def _complete(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs a task to its end; starts it again after an unexpected error."""
        while True:
            try:
                await work()
                return
            except Exception as error:
                self._log_failed_task(work, error)
            await asyncio.sleep(TASK_RESTART_DELAY_S)

    def _log_failed_task(
        self, work: Callable[[], Awaitable[None]], error: Exception
    ) -> None:
        self.log.write(
            "node.task_failed",
            task=getattr(work, "__qualname__", repr(work)),
            error=repr(error),
        )

    async def _listen(self, settings: SidecarSettings) -> None:
        """Opens the listeners whose address has changed or is new."""
        handlers: dict[str, tuple[Address, Handler]] = {
            "server": (settings.server_listener, self._handle_server_call),
            "ready": (settings.ready_listener, self._handle_readiness),
            "metrics": (settings.metrics_listener, self._handle_metrics),
        }
        listeners = {"caller": (settings.caller_listener, self.callers)}
        connection_limits = get_connection_limits(settings.max_fds)
        room = get_memory_room(settings.memory_bytes) // SMALL_LISTENER_PART
        for name, (address, handler) in handlers.items():
            listener = HttpListener(
                handler,
                CallerLimits(body_bytes=MAX_SMALL_BODY_BYTES),
                account=MemoryAccount(room),
                max_connections=connection_limits.small,
                on_limit=partial(self._handle_client_limit, name),
            )
            listeners[name] = (address, listener)
        if "peer" not in self.servers:
            self.servers["peer"] = await self.mesh.listen(
                settings.peer_listener
            )
        for name, (address, listener) in listeners.items():
            old = self.servers.get(name)
            if old is not None and _address_of(old) == address:
                continue
            self.servers[name] = await listener.listen(
                address.host, address.port
            )
            if old is not None:
                # Open connections stay; new ones use the new address.
                old.close()

    # Callbacks of the parts.

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        self.gateway.apply_snapshot(snapshot)
        self.mesh.apply_organisations(snapshot.organisations)
        self.callers.limits = snapshot.limits
        self.executor.apply_routes(snapshot.routes)
        self.executor.fair_share.apply_organisations(snapshot.organisations)
        self.executor.apply_connection_limit(
            snapshot.connection_limits.get(self.settings.service)
        )
        warm_up = snapshot.warm_ups.get(self.settings.service)
        self.registry.warm_up = warm_up
        self.executor.apply_warm_up(warm_up)
        self.gateway.selector.warm_ups = snapshot.warm_ups
        self._apply_cold_time()

    def _apply_cold_time(self) -> None:
        """Applies the cold time of the server in the rest of the node."""
        self.executor.update_warm_up()
        if self.registry.warm_up is not None:
            self.mesh.membership.set_own_cold_until(
                self.registry.cold_until, self.loop.time()
            )

    def _handle_evacuation(
        self, record: Evacuation, just_written: bool
    ) -> None:
        """Applies that a failure domain was evacuated, or no longer is."""
        self.executor.refuse_if_evacuated()
        if record.active or not just_written:
            return
        now = self.loop.time()
        domain = record.failure_domain
        self.mesh.membership.presume_cold(
            domain, self.gateway.selector.warm_ups, now
        )
        if domain == self.settings.failure_domain:
            if self.registry.presume_cold(now):
                self._handle_server_change("evacuation_withdrawn")
            self._apply_cold_time()

    def _handle_version_change(self, service: str) -> None:
        del service  # The executor checks the service of its own server.
        self.executor.refuse_if_version_closed()

    def _handle_server_unreachable(self) -> None:
        if self.registry.mark_unreachable():
            # A heartbeat that the ended server sent may still arrive, while
            # another one starts at its address.
            self.registry.presume_cold(self.loop.time())
            self._handle_server_change("unreachable")

    def _handle_server_end(self, end: ServerEnd) -> None:
        """Tells all nodes that the local server ended under requests."""
        if self._apply_server_end(end):
            self.mesh.broadcast(Records([], [end]))

    def _apply_server_end(self, end: ServerEnd) -> bool:
        """Counts the end of a server; returns whether it was not known."""
        now = self.loop.time()
        if not self.suspects.record_end(end, now):
            return False
        held = self.suspects.count_held(now)
        self.metrics.count("server_ends")
        self.metrics.set("held_requests", held)
        self.log.write(
            "server.ended",
            service=end.service,
            version=end.version,
            instance=end.instance_id,
            suspects=[f"{digest:016x}" for digest in end.digests],
            held=held,
        )
        return True

    def _handle_facts(self, facts: Facts) -> None:
        if self.registry.apply_facts(facts):
            self._handle_server_change("remembered_by_peer")

    def _handle_server_change(self, cause: str) -> None:
        self.executor.handle_server_change()
        self.registry.refresh_cold_time(self.loop.time())
        current = self.registry.current
        self._announce()
        if self.nodes_known:
            # The list of nodes tells which facts the store has.
            self.facts_recorder.start(self.registry.facts)
        self.log.write(
            "server.changed",
            cause=cause,
            instance=current.id if current is not None else None,
            born_ms=current.born_ms if current is not None else 0,
            sequence=current.sequence if current is not None else 0,
            service=current.service if current is not None else None,
            version=current.version if current is not None else None,
            ready=current.ready if current is not None else False,
            leaving=current.leaving if current is not None else False,
            rate_limit=current.rate_limit if current is not None else None,
        )

    def _make_stored_record(self) -> NodeRecord:
        """Returns this node's record as the store has to have it.

        Nodes of older builds read the last departure in its server.
        """
        own = self.mesh.membership.own.record
        return msgspec.structs.replace(
            own,
            instance=self.registry.departed or own.instance,
            facts=self.registry.facts,
        )

    def _handle_client_limit(
        self, listener: str, kind: str, transport: asyncio.Transport
    ) -> None:
        """Logs a client that met a limit."""
        self.metrics.count("client_limits", listener=listener, kind=kind)
        peer = transport.get_extra_info("peername")
        self.log.write(
            "client.limited",
            listener=listener,
            limit=kind,
            client=f"{peer[0]}:{peer[1]}" if peer else "",
        )

    # Handlers of the other listeners.

    async def _handle_server_call(
        self, request: HttpRequest, arrived: float
    ) -> HttpResponse:
        """Handles a heartbeat or deregistration of the local server."""
        try:
            call = self.server_api.decode(request)
        except InvalidHeartbeatError as error:
            self.log.write("server.invalid_call", error=str(error))
            return HttpResponse(BAD_REQUEST, [])
        if call is None:
            return HttpResponse(NOT_FOUND, [])
        if isinstance(call, Deregistration):
            wall_ms = int(time.time() * 1000)
            if self.registry.handle_deregistration(
                call.id, call.born_ms, wall_ms
            ):
                self._handle_server_change("deregistered")
        else:
            self._handle_heartbeat(call, arrived)
        if isinstance(call, Deregistration) or call.draining:
            self.facts_recorder.start(self.registry.facts)
            await self.facts_recorder.wait(DEPARTURE_WAIT_S)
        return HttpResponse(OK, [(b"Content-Type", b"application/json")], b"{}")

    def _handle_heartbeat(self, heartbeat: Heartbeat, arrived: float) -> None:
        host = heartbeat.address.rpartition(":")[0]
        if host != self.settings.server_address.host:
            self.log.write(
                "server.foreign_heartbeat",
                instance=heartbeat.id,
                address=heartbeat.address,
            )
            return
        if self.registry.handle_heartbeat(heartbeat, arrived):
            self._handle_server_change("heartbeat")
        self._apply_cold_time()

    async def _handle_readiness(
        self, request: HttpRequest, arrived: float
    ) -> HttpResponse:
        """Answers whether the machine's callers may send requests."""
        ready = self.gateway.snapshot is not None and not self.stopping
        ready = ready and (self.nodes_known or self.mesh.is_connected())
        if self.stopping:
            self.readiness_refusals += 1
        return HttpResponse(OK if ready else UNAVAILABLE, [])

    async def _handle_metrics(
        self, request: HttpRequest, arrived: float
    ) -> HttpResponse:
        """Answers with the metrics."""
        load = self.executor.get_load()
        self.metrics.set("server_running", load.running)
        self.metrics.set("server_waiting", load.waiting)
        self.metrics.set("peers", len(self.mesh.membership.peers) - 1)
        self.metrics.set("caller_connections", len(self.callers.connections))
        return HttpResponse(
            OK,
            [(b"Content-Type", b"text/plain; version=0.0.4")],
            self.metrics.render(),
        )

    # Tasks.

    async def _sync_nodes(self) -> None:
        """Registers this node in the store and reads the others."""
        while True:
            try:
                records = await self._list_nodes()
                if not self.registered:
                    records = await self._register(records)
                    self.registered = True
                self.nodes_known = True
                self._note_recorded_facts(records)
                self.mesh.apply_listed_nodes(records)
                self.facts_recorder.start(self.registry.facts)
                self.log.write("nodes.read", count=len(records))
            except StoreError as error:
                self.log.write("nodes.not_read", error=str(error))
                await asyncio.sleep(NODES_RETRY_DELAY_S)
                continue
            await asyncio.sleep(ALONE_RETRY_DELAY_S)
            if self.mesh.is_connected() or len(records) <= 1:
                await asyncio.sleep(NODES_REFRESH_INTERVAL_S)

    async def _register(self, records: list[NodeRecord]) -> list[NodeRecord]:
        """Writes this node's record unless the list has it.

        Returns:
          The records of the nodes. If there was no other node, the list is
          read again: nodes that start together then find each other, as the
          one that writes later reads the other's record.

        Raises:
          StoreError: The record could not be written or the list be read.
        """
        own = self.mesh.membership.own.record
        if any(record.address == own.address for record in records):
            return records
        await self._write_own_record()
        if any(
            record.failure_domain == own.failure_domain for record in records
        ):
            return records
        return await self._list_nodes()

    def _note_recorded_facts(self, records: list[NodeRecord]) -> None:
        """Notes which facts the store has on this node's server."""
        own = self.mesh.membership.own.record.address
        for record in records:
            if record.address == own:
                self.facts_recorder.recorded = record.get_facts()

    async def _write_own_record(self) -> None:
        """Writes this node's record, with what is certain of its server.

        Raises:
          StoreError: The record could not be written.
        """
        while True:
            record = self._make_stored_record()
            await self.store.put_node(record)
            self.facts_recorder.recorded = record.facts
            if self.registry.facts == record.facts:
                return
            # A record with newer facts may have been replaced by this one.

    def _choose_write_delay(self) -> float:
        return choose_restore_delay(
            len(self.mesh.membership.peers),
            self.settings.store_writes_per_s,
            random.Random(),
        )

    def _handle_store_era(self, era: int) -> None:
        """Restores what this node had stored before the store returned."""
        self.metrics.set("store_era", era)
        self.log.write("store.era", era=era)
        if self.registered or self.facts_recorder.recorded:
            self.restorer.requested.set()
        # The copy may lack them.
        self.facts_recorder.recorded = ()

    async def _list_nodes(self) -> list[NodeRecord]:
        """Returns the records in the store that may name a node.

        Raises:
          StoreError: The list could not be read.
        """
        now_ms = int(time.time() * 1000)
        records = []
        for record in await self.store.list_nodes():
            defect = find_defect(record, now_ms)
            if defect:
                self.log.write(
                    "nodes.invalid", address=record.address, error=defect
                )
            else:
                records.append(record)
        return records

    async def _run_checks(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = self.loop.time()
            if self.registry.expire(now):
                self._handle_server_change("silent")
            suspended_s = _total_suspended_s()
            if suspended_s - self.suspended_s > MIN_SUSPENSION_S:
                self.log.write(
                    "node.suspended",
                    seconds=round(suspended_s - self.suspended_s, 2),
                )
                self.mesh.reset_links()
                self.store.reset()
            self.suspended_s = suspended_s
            await self._reload_if_changed()

    async def _reload_if_changed(self) -> None:
        """Applies changed settings, with or without a signal."""
        fingerprint = self.source.fingerprint()
        if (
            fingerprint == self.fingerprint
            and not self.reload_requested.is_set()
        ):
            return
        signalled = self.reload_requested.is_set()
        self.reload_requested.clear()
        self.fingerprint = fingerprint
        try:
            settings = self.source.load()
            await self._listen(settings)
        except (InvalidSettingsError, OSError) as error:
            self.log.write("settings.invalid", error=str(error))
            return
        changed = settings != self.settings
        self.settings = settings
        for part in (self.gateway, self.executor, self.mesh):
            part.settings = settings
        self.log.write(
            "settings.reloaded",
            signalled=signalled,
            changed=changed,
            service=settings.service,
        )

    # Shutdown.

    async def _stop(self) -> None:
        """Waits until requests have ended and callers send no new ones."""
        policy = self.shutdown_policy or self._begin_stop()
        while not policy.may_close(
            self._is_busy(), self.readiness_refusals, self.loop.time()
        ):
            self._withdraw_if_due(policy)
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        # What still arrives is refused, and runs elsewhere.
        self.executor.last_deadline = 0.0
        self.servers["caller"].close()
        self.callers.close_idle()
        # Requests that were read meanwhile get their responses.
        await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
        while not policy.may_exit(self._is_busy(), self.loop.time()):
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)

    def _begin_stop(self) -> ShutdownPolicy:
        snapshot = self.gateway.snapshot
        service = self.settings.service
        policy = ShutdownPolicy(
            self.settings.bounds.grace_s,
            snapshot.get_longest_timeout_s(service) if snapshot else 0.0,
            self.loop.time(),
        )
        self.shutdown_policy = policy
        self.stopping = True
        self.serves_while_stopping = True
        self.callers.closing = True
        self.gateway.last_deadline = policy.last_deadline
        self.executor.last_deadline = policy.last_deadline
        self._announce()
        self.log.write("node.stopping", active=self.callers.active_requests)
        return policy

    def _withdraw_if_due(self, policy: ShutdownPolicy) -> None:
        """Tells the other nodes at the end of a stop to use other servers."""
        if self.serves_while_stopping and policy.must_withdraw(
            self.readiness_refusals, self.loop.time()
        ):
            self.serves_while_stopping = False
            self._announce()
            self.log.write(
                "node.withdrawn", running=self.executor.get_load().running
            )

    def _announce(self) -> None:
        """Announces the state of this node and its server."""
        try:
            self.mesh.announce(
                self.registry.current,
                self.stopping,
                self.serves_while_stopping,
                self.registry.facts,
            )
        except FrameError as error:
            # Requests in progress and a planned stop go on without it.
            self.log.write("node.not_announced", error=str(error))

    def _is_busy(self) -> bool:
        """Returns whether a request is in progress on this node."""
        return self.callers.is_busy() or self.executor.is_busy()

    def _log_exception(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Logs an exception that no task or callback handled."""
        self.log.write(
            "node.unhandled",
            message=str(context.get("message")),
            error=repr(context.get("exception")),
        )


def _address_of(server: asyncio.Server) -> Address | None:
    """Returns a server's address, None if it has been closed."""
    if not server.sockets:
        return None
    host, port = server.sockets[0].getsockname()[:2]
    return Address(host, port)


def _total_suspended_s() -> float:
    """Returns how far the boot clock is ahead of the monotonic clock."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()
