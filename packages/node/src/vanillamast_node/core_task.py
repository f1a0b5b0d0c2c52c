"""The task that runs the node's core and executes its effects."""

import asyncio
import time
from collections.abc import Callable, Iterable
from typing import Any, TypeAlias

import eliot
from vanillamast_core.control import (
    Append,
    ClearSplit,
    DropService,
    Effect,
    Event,
    NodeCore,
    Notice,
    OutcomeFolded,
    RecordSubmitted,
    ServerReport,
    ServerReported,
    SetRoutes,
    SetServers,
    SetSplit,
    Tick,
    queries,
)
from vanillamast_core.journal import Outcome, Record
from vanillamast_core.peers import CloseLink, Dial, ReadLog, Send
from vanillamast_core.requests import RequestRouter

from vanillamast_node.event_history import EventHistory
from vanillamast_node.log_appender import LogAppender
from vanillamast_node.log_reader import LogReader
from vanillamast_node.node_metrics import NodeMetrics
from vanillamast_node.peer_transport import PeerTransport

# Time that an operator's request waits for the outcome of its record.
SUBMIT_TIMEOUT_S = 10.0
US_PER_S = 1_000_000

EffectHandler: TypeAlias = Callable[["CoreTask", Any], None]
effect_handlers: dict[type, EffectHandler] = {}


def handles_effect(kind: type) -> Callable[[EffectHandler], EffectHandler]:
    """Returns a decorator that registers the handler of an effect type."""

    def decorate(handler: EffectHandler) -> EffectHandler:
        effect_handlers[kind] = handler
        return handler

    return decorate


class CoreTask:
    """Feeds events to the core, one at a time, and executes its effects.

    Attributes:
      core: The control state machine, which does no I/O.
      router: Decisions of the request path.
      transport: Links to peers; set before `run`.
      log_reader: Reader of the platform's log; set before `run`.
      log_appender: Appender to the platform's log; set before `run`.
      metrics: Counters of the node.
      history: Events for operators.
      events: Queue of events for the core.
    """

    def __init__(
        self, core: NodeCore, router: RequestRouter, metrics: NodeMetrics
    ):
        self.core = core
        self.router = router
        self.metrics = metrics
        self.history = EventHistory()
        self.events: asyncio.Queue[Event] = asyncio.Queue()
        self.transport: PeerTransport
        self.log_reader: LogReader
        self.log_appender: LogAppender
        self._pending_outcomes: dict[str, asyncio.Future[Outcome]] = {}

    def post(self, event: Event) -> None:
        """Queues an event for the core."""
        self.events.put_nowait(event)

    async def run(self) -> None:
        """Handles events until it is cancelled."""
        while True:
            event = await self.events.get()
            try:
                self.handle_event(event)
            except Exception:
                # An error in one event must not stop the request path, and an
                # invalid log entry must not stop all nodes at once.
                self.metrics.count("control_failures")
                eliot.write_traceback()

    async def run_ticks(self) -> None:
        """Posts timer ticks until it is cancelled."""
        period_s = self.core.settings.peers.tick_s
        while True:
            self.post(Tick())
            await asyncio.sleep(period_s)

    def handle_event(self, event: Event) -> None:
        """Handles one event without queueing it."""
        started = time.perf_counter()
        now = asyncio.get_running_loop().time()
        for effect in self.core.handle(event, now, time.time()):
            self.execute_effect(effect)
        elapsed_us = int((time.perf_counter() - started) * US_PER_S)
        self.metrics.event_us.record_value(max(1, elapsed_us))

    def execute_effect(self, effect: Effect) -> None:
        """Executes one effect."""
        effect_handlers[type(effect)](self, effect)

    # Called by the listener for the backend server.

    def handle_server_report(self, report: ServerReport) -> bool | None:
        """Handles a report of the instance's backend server.

        Returns:
          Whether the backend server should drain; None if the report names
          another service than the node's settings.
        """
        service = self.core.settings.service
        if service and report.service != service:
            return None
        self.post(ServerReported(report))
        return self.core.server.drained or self.core.stopping

    # Called by the operators' listener (`OperatorBackend`).

    def query_names(self) -> Iterable[str]:
        """Returns the names of the queries."""
        return [*queries, "metrics"]

    def query(self, name: str, params: dict[str, Any]) -> Any:
        """Answers a query with JSON values."""
        if name == "metrics":
            return self._collect_metrics()
        return queries.get(name)(self.core, params, time.time())

    async def submit(self, record: Record) -> Outcome | None:
        """Appends a record; returns None if the outcome times out."""
        future = self._pending_outcomes.get(record.id)
        if future is None:
            future = asyncio.get_running_loop().create_future()
            self._pending_outcomes[record.id] = future
            self.post(RecordSubmitted(record))
        try:
            return await asyncio.wait_for(
                asyncio.shield(future), SUBMIT_TIMEOUT_S
            )
        except TimeoutError:
            self._pending_outcomes.pop(record.id, None)
            return None

    def find_outcome(self, record_id: str) -> Outcome | None:
        """Returns the outcome of a record, None if it is unknown."""
        return self.core.outcome(record_id)

    async def read_events(
        self, after: int, wait_s: float
    ) -> list[dict[str, Any]]:
        """Returns the events after a sequence number."""
        return await self.history.read_after(after, wait_s)

    def _collect_metrics(self) -> dict[str, Any]:
        platform_bytes = self.log_appender.client.control_bytes
        peer_bytes = self.transport.wire_bytes
        uptime_s = time.time() - self.metrics.started_at
        rate = (platform_bytes + peer_bytes) / max(uptime_s, 0.001)
        return {
            **self.metrics.summarize(),
            "peer_bytes": peer_bytes,
            "peer_payload_bytes": dict(self.transport.payload_bytes),
            "platform_bytes": platform_bytes,
            "control_bytes_per_s": round(rate, 1),
        }

    # Effect handlers.

    @handles_effect(Dial)
    def _dial(self, effect: Dial) -> None:
        self.transport.dial(effect.address)

    @handles_effect(CloseLink)
    def _close_link(self, effect: CloseLink) -> None:
        self.transport.close_link(effect.link_id)

    @handles_effect(Send)
    def _send(self, effect: Send) -> None:
        self.transport.send(effect.link_id, effect.message)

    @handles_effect(ReadLog)
    def _read_log(self, effect: ReadLog) -> None:
        self.log_reader.active = effect.active
        eliot.log_message(message_type="log.reading", active=effect.active)

    @handles_effect(Append)
    def _append(self, effect: Append) -> None:
        self.log_appender.start_append(effect)

    @handles_effect(SetRoutes)
    def _set_routes(self, effect: SetRoutes) -> None:
        self.router.set_routes(effect.routes, effect.classes, effect.services)

    @handles_effect(SetServers)
    def _set_servers(self, effect: SetServers) -> None:
        now = asyncio.get_running_loop().time()
        started = self.router.set_servers(
            effect.service, list(effect.servers), effect.panic, now, time.time()
        )
        # Starts requests that were queued for a backend server.
        for waiting in started:
            waiting.exchange.owner.execute_effects([waiting])
        eliot.log_message(
            message_type="placement.servers",
            service=effect.service,
            servers=[a.instance for a in effect.servers],
            panic=effect.panic,
        )

    @handles_effect(DropService)
    def _drop_service(self, effect: DropService) -> None:
        self.router.pools.pop(effect.service, None)

    @handles_effect(SetSplit)
    def _set_split(self, effect: SetSplit) -> None:
        self.router.set_split(
            effect.service, effect.old, effect.new, effect.share
        )

    @handles_effect(ClearSplit)
    def _clear_split(self, effect: ClearSplit) -> None:
        self.router.clear_split(effect.service)

    @handles_effect(OutcomeFolded)
    def _outcome_folded(self, effect: OutcomeFolded) -> None:
        future = self._pending_outcomes.pop(effect.outcome.id, None)
        if future is not None and not future.done():
            future.set_result(effect.outcome)

    @handles_effect(Notice)
    def _notice(self, effect: Notice) -> None:
        self.history.add(effect)
        eliot.log_message(message_type=effect.kind, **effect.fields)
