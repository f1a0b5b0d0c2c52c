"""One node: its tasks and listeners, from start to planned stop."""

import asyncio
import contextlib
import random
import signal
import time

import eliot
from vanillamast_core.control import (
    AttemptEnded,
    CoreSettings,
    NodeCore,
    StopRequested,
)
from vanillamast_core.moves import VersionSplit
from vanillamast_core.requests import (
    AttemptResult,
    RequestRouter,
    RoutingDecision,
)

from vanillamast_node.caller_listener import CallerListener, InterruptedRequest
from vanillamast_node.core_task import CoreTask
from vanillamast_node.forwarding_context import ForwardingContext
from vanillamast_node.http_server import HttpServer
from vanillamast_node.idempotency_keys import IdempotencyKeys
from vanillamast_node.log_appender import LogAppender
from vanillamast_node.log_reader import LogReader
from vanillamast_node.log_writer import LogWriter
from vanillamast_node.node_metrics import NodeMetrics
from vanillamast_node.operator_listener import make_operator_app
from vanillamast_node.peer_transport import (
    PeerTransport,
    cancel_all,
    split_address,
)
from vanillamast_node.platform_client import PlatformClient
from vanillamast_node.process_tuning import tune_garbage_collection
from vanillamast_node.server_listener import make_server_app
from vanillamast_node.settings import Settings
from vanillamast_node.upstream_pool import UpstreamPool

EXIT_OK = 0
EXIT_REQUESTS_INTERRUPTED = 3
US_PER_S = 1_000_000
KEY_REFRESH_S = 0.5


class Node:
    """Starts all tasks and listeners and stops them in order.

    Attributes:
      settings: The node's settings.
      rng: Source of randomness of all tasks.
      core: The control state machine.
      router: Decisions of the request path.
      metrics: Counters.
      core_task: The task that runs the core and executes its effects.
      keys: Claims of idempotency keys.
      log_writer: The log writer.
    """

    def __init__(self, settings: Settings):
        self.settings = settings
        self.rng = random.Random()
        self.core = NodeCore(
            make_core_settings(settings), self.rng, time.time()
        )
        self.router = RequestRouter(
            settings.requests,
            settings.failure_domain,
            self.rng,
            VersionSplit,
        )
        self.metrics = NodeMetrics()
        self.core_task = CoreTask(self.core, self.router, self.metrics)
        self.keys = IdempotencyKeys(self.core, settings.requests)
        self.log_writer = LogWriter(settings.log)
        self.platform = PlatformClient(settings.platform)
        self.transport = PeerTransport(
            self.core_task.post, self.keys.handle_request
        )
        self._stop_signals: asyncio.Queue[None] = asyncio.Queue()

    async def run(self) -> int:
        """Runs the node until a signal stops it.

        Returns:
          The exit status.

        Raises:
          OSError: A listener's address cannot be used.
        """
        self.log_writer.start()
        self._connect_components()
        try:
            async with contextlib.AsyncExitStack() as stack:
                return await self._run_with_stack(stack)
        finally:
            self.log_writer.close()

    async def _run_with_stack(self, stack: contextlib.AsyncExitStack) -> int:
        """Runs the node; the stack closes its resources in reverse order."""
        upstream = UpstreamPool(self.settings.forwarding)
        await stack.enter_async_context(upstream)
        await self.platform.open()
        stack.push_async_callback(self.platform.close)
        stack.push_async_callback(self.core_task.log_appender.close)
        await self._start_listeners(stack)
        tasks = self._start_tasks(stack)
        callers = CallerListener(
            self._make_forwarding_context(upstream),
            self.settings.listen.callers,
        )
        await callers.start()
        self._install_signal_handlers()
        tune_garbage_collection()
        eliot.log_message(
            message_type="node.started", instance=self.settings.instance
        )
        await wait_for_stop(self._stop_signals, tasks)
        interrupted = await self._drain(callers)
        return EXIT_REQUESTS_INTERRUPTED if interrupted else EXIT_OK

    def _connect_components(self) -> None:
        """Connects the components with each other."""
        self.core_task.transport = self.transport
        self.keys.transport = self.transport
        self.core_task.log_reader = LogReader(
            self.platform,
            self.core_task.post,
            self.core.recovery.last_read_offset,
            self.rng,
        )
        self.core_task.log_appender = LogAppender(
            self.platform,
            lambda record_id: self.core.outcome(record_id) is not None,
            self.rng,
        )

    def _make_forwarding_context(
        self, upstream: UpstreamPool
    ) -> ForwardingContext:
        return ForwardingContext(
            self.settings.forwarding,
            self.router,
            upstream,
            self._record_attempt,
            self._log_decision,
            self.keys.claim,
            self.keys.settle,
            self.metrics.record_added_time,
        )

    async def _start_listeners(self, stack: contextlib.AsyncExitStack) -> None:
        listen = self.settings.listen
        lease_s = self.settings.control.server_lease_s
        stack.push_async_callback(self.transport.close)
        await self.transport.start(*split_address(listen.peers))
        servers = HttpServer(
            make_server_app(self.core_task.handle_server_report, lease_s),
            listen.servers,
        )
        operators = HttpServer(
            make_operator_app(self.core_task), listen.operators
        )
        for server in (servers, operators):
            stack.push_async_callback(server.stop_serving)
            await server.start_serving()

    def _start_tasks(
        self, stack: contextlib.AsyncExitStack
    ) -> list[asyncio.Task[None]]:
        tasks = [
            asyncio.create_task(self.core_task.run(), name="core"),
            asyncio.create_task(self.core_task.run_ticks(), name="ticks"),
            asyncio.create_task(
                self.core_task.log_reader.run(), name="log-reader"
            ),
            asyncio.create_task(self._refresh_key_members(), name="keys"),
        ]
        stack.push_async_callback(cancel_all, *tasks)
        return tasks

    async def _refresh_key_members(self) -> None:
        while True:
            self.keys.refresh_members()
            await asyncio.sleep(KEY_REFRESH_S)

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop_signals.put_nowait, None)

    async def _drain(self, callers: CallerListener) -> list[InterruptedRequest]:
        """Leaves the mesh and waits for requests in flight.

        A second signal ends the wait.
        """
        self.core_task.post(StopRequested())
        drain = asyncio.create_task(callers.drain())
        second = asyncio.create_task(self._stop_signals.get())
        await asyncio.wait({drain, second}, return_when=asyncio.FIRST_COMPLETED)
        second.cancel()
        if not drain.done():
            drain.cancel()
            await asyncio.gather(drain, return_exceptions=True)
            interrupted = await callers.drain(0.0, 0.0)
        else:
            interrupted = drain.result()
        eliot.log_message(
            message_type="node.stopped",
            cut_off=[{"route": c.route, "phase": c.phase} for c in interrupted],
        )
        return interrupted

    def _record_attempt(self, result: AttemptResult) -> None:
        self.metrics.count(result.outcome.value)
        elapsed_us = int(result.latency_s * US_PER_S)
        self.metrics.upstream_us.record_value(max(1, elapsed_us))
        self.core_task.handle_event(AttemptEnded(result))

    def _log_decision(self, decision: RoutingDecision) -> None:
        first_attempt = decision.attempt == 1
        sample = self.settings.log.sample
        if first_attempt and sample < 1.0 and self.rng.random() >= sample:
            return
        if decision.attempt == 0:
            self.metrics.count(f"refused_{decision.reason}")
        eliot.log_message(
            message_type="routing.decision",
            route=decision.route,
            service=decision.service,
            version=decision.version,
            instance=decision.instance,
            address=decision.address,
            candidates=decision.candidates,
            policy=decision.policy,
            attempt=decision.attempt,
            reason=decision.reason,
        )


def make_core_settings(settings: Settings) -> CoreSettings:
    """Returns the settings of the core."""
    return CoreSettings(
        instance=settings.instance,
        region=settings.region,
        failure_domain=settings.failure_domain,
        service=settings.service,
        edge=settings.edge,
        peer_address=settings.listen.peers,
        operator_address=settings.listen.operators,
        holder=f"{settings.instance}/{time.time_ns()}",
        seeds=settings.seeds,
        control=settings.control,
        peers=settings.peers,
        driver=settings.driver,
        judge=settings.judge,
        evidence=settings.evidence,
        leases=settings.leases,
        snapshots=settings.snapshots,
    )


async def wait_for_stop(
    signals: asyncio.Queue[None], tasks: list[asyncio.Task[None]]
) -> None:
    """Waits for a signal, or for a task that failed.

    Raises:
      Exception: The error of the failed task.
    """
    stop = asyncio.create_task(signals.get())
    done, _ = await asyncio.wait(
        {stop, *tasks}, return_when=asyncio.FIRST_COMPLETED
    )
    if stop in done:
        return
    stop.cancel()
    for task in done:
        await task
