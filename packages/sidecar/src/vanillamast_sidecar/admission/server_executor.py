"""Runs requests on the local backend server."""

import asyncio
import sys
import time
from collections.abc import Callable, Iterable

from vanillamast_sidecar.admission.admission_queue import AdmissionQueue
from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.decaying_rate import DecayingRate
from vanillamast_sidecar.admission.decaying_share import DecayingShare
from vanillamast_sidecar.admission.fair_share import FairShare
from vanillamast_sidecar.admission.link_pacer import LinkPacer
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.admission.response_classifier import classify_response
from vanillamast_sidecar.admission.response_kind import ResponseKind
from vanillamast_sidecar.admission.server_call import ServerCall
from vanillamast_sidecar.admission.server_notice import (
    is_leaving,
    read_rate_limit,
)
from vanillamast_sidecar.balancing.pace_tracker import PaceTracker
from vanillamast_sidecar.balancing.server_load import read_server_load
from vanillamast_sidecar.crashes.crash_suspects import Admission, CrashSuspects
from vanillamast_sidecar.crashes.request_digest import digest_request
from vanillamast_sidecar.crashes.server_end import ServerEnd
from vanillamast_sidecar.crashes.server_end_detector import ServerEndDetector
from vanillamast_sidecar.errors import (
    ConnectError,
    ConnectionLostError,
    InvalidRateLimitError,
    MalformedResponseError,
    ResponseTimeoutError,
    ResponseTooLargeError,
)
from vanillamast_sidecar.http.byte_budget import ByteBudget
from vanillamast_sidecar.http.client_connection import ClientConnection
from vanillamast_sidecar.http.connection_pool import ConnectionPool
from vanillamast_sidecar.http.http_message import Body, HttpResponse
from vanillamast_sidecar.http.http_writer import encode_request_head
from vanillamast_sidecar.http.memory_account import MemoryAccount
from vanillamast_sidecar.http.memory_costs import get_call_cost
from vanillamast_sidecar.http.transport_writer import LARGE_BYTES
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.membership.server_registry import ServerRegistry
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.evacuations import Evacuations
from vanillamast_sidecar.operator_state.snapshot import WarmUp
from vanillamast_sidecar.rollouts.move_table import MoveTable
from vanillamast_sidecar.routing.route import Route
from vanillamast_sidecar.settings import SidecarSettings
from vanillamast_sidecar.warmup.warm_up_limiter import WarmUpLimiter

CONNECT_TIMEOUT_S = 0.5  # The server is on the same machine.
# The server itself answers when the deadline of a request has passed; that
# response may arrive this much later.
RESPONSE_GRACE_S = 0.15
# A request whose deadline is nearer than this is not sent: no server answers
# faster.
MIN_ATTEMPT_S = 0.005
# A rank of the sender is split by whether the organisation uses more than its
# share of the server.
RANKS_PER_SENDER_RANK = 2
# The memory for requests of other nodes is reported from here on, as a part of
# it that is in use.
REPORTED_MEMORY_PART = 2
# Retry-After of a request that finds no memory, in seconds.
MIN_MEMORY_WAIT_S = 0.05
MAX_MEMORY_WAIT_S = 1.0
# A timer that fires a little early does not find the next request allowed.
MIN_GRANT_DELAY_S = 0.001


class ServerExecutor:
    """The only sender of requests to the local backend server.

    It therefore knows the server's load exactly, keeps its concurrency limit
    and stops sending as soon as it acknowledges that the server deregisters.

    Attributes:
      settings: Settings of the node.
      registry: Keeps the state of the local server.
      moves: Moves of traffic, which may close a server version.
      log: Event logger.
      metrics: Metrics.
      on_unreachable: Called when the server refused a connection.
      on_response: Called when a response has changed the server's state.
      suspects: Requests under which servers have ended.
      end_detector: Finds out whether the server has ended.
      queue: Slots and waiting requests.
      pool: Idle connections; None before the first heartbeat.
      incarnation: Id and start time of the server of the queue and the pool.
      failure_share: Recent share of failed requests.
      response_budget: Bytes of responses that are kept at once.
      evacuations: Failure domains that the operator has evacuated.
      connection_limit: Connections that a server of this service accepts;
        None for any number.
      warm_up: How servers of this service warm up; None without a limit.
      configured: Whether a configuration has said so.
      running_request_ids: Ids of the requests that the server runs.
      sent: Requests sent to the server.
      last_deadline: Latest deadline of a request that is accepted, in loop
        time.
      pace: How fast the server works now, compared with its usual speed.
      fair_share: What organisations use of the server.
      link: Paces downloads to the bandwidth of the link.
      download_routes: Names of the routes with large responses.
      running_alone: Whether the server runs a request that must not run
        beside another such one.
      account: Memory for requests of other nodes.
      route_names: Names of all routes.
      grant_timer: Grants slots when the rate limit allows the next request;
        None while no request waits for that.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        registry: ServerRegistry,
        moves: MoveTable,
        log: EventLogger,
        metrics: Metrics,
        on_unreachable: Callable[[], None],
        on_response: Callable[[], None],
        suspects: CrashSuspects,
        on_end: Callable[[ServerEnd], None],
        evacuations: Evacuations | None = None,
    ):
        self.settings = settings
        self.registry = registry
        self.moves = moves
        self.log = log
        self.metrics = metrics
        self.on_unreachable = on_unreachable
        self.on_response = on_response
        self.suspects = suspects
        self.end_detector = ServerEndDetector(suspects, on_unreachable, on_end)
        self.loop = asyncio.get_running_loop()
        self.evacuations = evacuations or Evacuations()
        self.queue = self._make_queue()
        self.pool: ConnectionPool | None = None
        self.incarnation: tuple[str, int] = ("", 0)
        self.failure_share = DecayingShare()
        self.response_budget = ByteBudget(settings.response_limits.total_bytes)
        self.connection_limit: int | None = None
        self.warm_up: WarmUp | None = None
        self.configured = False
        self.running_request_ids: set[bytes] = set()
        self.sent = DecayingRate()
        self.last_deadline = float("inf")
        self.running_alone = False
        self.pace = PaceTracker()
        self.fair_share = FairShare()
        self.link = LinkPacer(settings.link_mbps)
        self.download_routes: frozenset[str] = frozenset()
        self.account = MemoryAccount(sys.maxsize)
        self.route_names: frozenset[str] = frozenset()
        self.grant_timer: asyncio.TimerHandle | None = None

    def get_load(self) -> LoadReport:
        """Returns how busy the server is."""
        queue = self.queue
        now = self.loop.time()
        return LoadReport(
            queue.running,
            queue.size,
            round(queue.mean_service_s * self.pace.factor(now), 4),
            round(self.failure_share.value(now), 3),
            round(queue.rate_delay_s(now, queue.size), 3),
            self.pace.newest,
            self._get_memory_level(),
        )

    def _get_memory_level(self) -> int:
        """Returns the level of free memory, as load reports state it."""
        account = self.account
        if account.used * REPORTED_MEMORY_PART < account.size:
            return 0
        return account.free.bit_length() or 1

    def refuse_for_memory(self) -> CallResult:
        """Returns the refusal of a call for which there is no memory."""
        reason = Reason.NO_ROOM
        self.metrics.count("server_refusals", reason=reason)
        self.log.write(
            "server.no_room",
            used=self.account.used,
            free=self.account.free,
            running=self.queue.running,
            waiting=self.queue.size,
        )
        wait_s = min(
            MAX_MEMORY_WAIT_S, max(MIN_MEMORY_WAIT_S, self.queue.mean_service_s)
        )
        return CallResult(Outcome.NOT_RUN, reason, retry_after_s=wait_s)

    def _make_queue(self) -> AdmissionQueue[asyncio.Future[Reason]]:
        return AdmissionQueue(1, WarmUpLimiter(self.settings.bounds))

    def is_busy(self) -> bool:
        """Returns whether requests run or wait."""
        return self.queue.running > 0 or self.queue.size > 0

    def is_nested(self, request_id: bytes) -> bool:
        """Returns whether a request that the server runs waits for this one.

        A server derives the id of a nested call from the id of the request
        that it runs. Nested calls with other ids are not recognized.
        """
        return any(
            len(request_id) > len(parent) and request_id.startswith(parent)
            for parent in self.running_request_ids
        )

    def handle_server_change(self) -> None:
        """Handles a new incarnation, a deregistration or a crash."""
        current = self.registry.current
        if current is None:
            return
        if self.incarnation != (current.id, current.born_ms):
            self._switch_instance(current)
        self._apply_limits(current)
        self.update_warm_up()
        if current.rate_limit is not None:
            self._restore_rate_limit(current.rate_limit)
        if not current.ready:
            self._refuse_waiting(
                Reason.LEAVING if current.leaving else Reason.NO_SERVER
            )
            if self.pool is not None:
                self.pool.drop_idle()
        self._grant_slots()

    def apply_connection_limit(self, limit: int | None) -> None:
        """Applies how many connections a server of this service accepts."""
        self.connection_limit = limit
        if self.registry.current is not None:
            self._apply_limits(self.registry.current)
            self._grant_slots()

    def apply_warm_up(self, warm_up: WarmUp | None) -> None:
        """Applies how servers of this service warm up."""
        self.warm_up = warm_up
        self.configured = True
        self.update_warm_up()

    def update_warm_up(self) -> None:
        """Applies the cold time of the server after a heartbeat."""
        now = self.loop.time()
        limiter = self.queue.warm_up
        cold_until = self.registry.cold_until
        if limiter is None:
            return
        limiter.bounds = self.settings.bounds
        if not limiter.update(self.warm_up, cold_until, now):
            return
        self.metrics.set("server_warm_up_rate", limiter.limit_per_s or 0.0)
        self.log.write(
            "server.warm_up",
            instance=self.incarnation[0],
            rate_per_s=limiter.limit_per_s,
            cold_s=round(max(0.0, cold_until - now), 2),
            sent_per_s=round(limiter.sent_per_s(now), 1),
            running=self.queue.running,
            waiting=self.queue.size,
        )
        self._grant_slots()

    def _apply_limits(self, current: InstanceRecord) -> None:
        """Applies the limits on requests that run and on connections.

        A server runs one request at a time on a connection.
        """
        slots = current.slots
        if self.connection_limit is not None:
            slots = min(slots, self.connection_limit)
        self.queue.slots = max(1, slots)
        if self.pool is not None:
            self.pool.max_connections = self.connection_limit

    def _switch_instance(self, current: InstanceRecord) -> None:
        self._refuse_waiting(Reason.WRONG_INSTANCE)
        if self.pool is not None:
            self.pool.drop_idle()
        host, _, port = current.address.rpartition(":")
        self.pool = ConnectionPool(
            host,
            int(port),
            self.settings.fields.request_id,
            self.settings.response_limits,
            self.response_budget,
        )
        # Requests that the old incarnation still runs release their slots to
        # its own queue.
        self.queue = self._make_queue()
        if self.warm_up is not None:
            self.metrics.set("server_warm_up_rate", 0.0)
        self.incarnation = (current.id, current.born_ms)
        self.pace = PaceTracker()
        self.fair_share.usage.clear()
        self.sent = DecayingRate()

    def _restore_rate_limit(self, limit: float) -> None:
        """Applies a limit that the server named before this node restarted."""
        limiter = self.queue.limiter
        if limiter.limit_per_s is None:
            limiter.apply_limit(limit, self.loop.time())

    def _refuse_waiting(self, reason: Reason) -> None:
        for future in self.queue.remove_all():
            if not future.done():
                future.set_result(reason)

    def refuse_if_version_closed(self) -> None:
        """Refuses waiting requests after a move closed the server's version."""
        current = self.registry.current
        if current is not None and not self.moves.allows_requests(current):
            self._refuse_waiting(Reason.VERSION_CLOSED)

    def refuse_if_evacuated(self) -> None:
        """Refuses waiting requests after this failure domain was evacuated."""
        if self._is_evacuated():
            self._refuse_waiting(Reason.EVACUATED)

    def _is_evacuated(self) -> bool:
        return self.evacuations.is_evacuated(self.settings.failure_domain)

    # A request.

    async def run(self, call: ServerCall) -> CallResult:
        """Runs a request, waiting for a slot if it can still end in time."""
        reason = self._find_refusal_reason(call)
        if reason:
            return self._refuse(call, reason)
        queue = self.queue
        queue.assume_duration(call.soft_deadline - self.loop.time())
        now = self.loop.time()
        rank = self._get_rank(call, now)
        if not queue.try_acquire_slot(now):
            if not call.may_wait:
                return self._refuse_busy()
            wait_s = queue.expected_wait_s(rank, call.soft_deadline, now)
            wait_s *= self.pace.factor(now)
            duration_s = queue.expected_duration_s(call.route)
            duration_s *= self.pace.factor(now)
            if now + wait_s + duration_s > call.soft_deadline:
                return self._refuse(call, Reason.OVERLOADED, wait_s)
            reason = await self._wait_for_slot(call, rank, queue)
            if reason:
                now = self.loop.time()
                wait_s = queue.expected_wait_s(rank, call.soft_deadline, now)
                return self._refuse(call, reason, wait_s)
        call.has_slot = True
        if call.idempotent:
            return await self._run_in_slot(call, queue)
        # A non-idempotent request goes on when its caller disconnects.
        task = self.loop.create_task(self._run_in_slot(call, queue))
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            self._charge_until_done(call, task)
            raise

    def _charge_until_done(
        self, call: ServerCall, task: "asyncio.Task[CallResult]"
    ) -> None:
        """Charges a request that runs on after its sender has given it up."""
        if task.done():
            return
        head_bytes = sum(len(name) + len(value) for name, value in call.headers)
        cost = get_call_cost(
            len(call.headers), head_bytes, max(len(call.body), call.body_bytes)
        )
        self.account.charge(cost)
        task.add_done_callback(lambda _: self.account.release(cost))

    def _get_rank(self, call: ServerCall, now: float) -> int:
        """Returns the rank among the requests that wait for a slot.

        Within a rank of the sender, organisations that use more than their
        share of the server come last.
        """
        is_over = self.fair_share.is_over(call.organisation, now)
        return call.rank * RANKS_PER_SENDER_RANK + is_over

    def _find_refusal_reason(self, call: ServerCall) -> Reason:
        """Returns why a call cannot run now, `Reason.NONE` if it can."""
        current = self.registry.current
        if self._is_evacuated():
            return Reason.EVACUATED
        if current is None:
            return Reason.NO_SERVER
        if (current.id, current.born_ms) != (call.instance_id, call.born_ms):
            return Reason.WRONG_INSTANCE
        if current.leaving:
            return Reason.LEAVING
        if not current.ready:
            return Reason.NO_SERVER
        if not self.moves.allows_requests(current):
            return Reason.VERSION_CLOSED
        if not self.configured and self.loop.time() < self.registry.cold_until:
            # The configuration may limit the requests to a cold server.
            return Reason.NO_CONFIGURATION
        if call.deadline > self.last_deadline:
            # The process might exit before the request has ended.
            return Reason.STOPPING
        if call.deadline - self.loop.time() < MIN_ATTEMPT_S:
            return Reason.TIMEOUT
        return Reason.NONE

    def refuse_if_busy(self) -> CallResult | None:
        """Returns the refusal of a call that may not wait; None with a slot.

        Such calls are frequent under load, and this answer needs no task.
        """
        queue = self.queue
        if queue.running < queue.slots and not queue.size:
            return None
        return self._refuse_busy()

    def _refuse_busy(self) -> CallResult:
        """Refuses a call that looks for a free slot; it asks another node."""
        self.metrics.count("server_refusals", reason=Reason.BUSY)
        return CallResult(Outcome.NOT_RUN, Reason.BUSY)

    def _refuse(
        self, call: ServerCall, reason: Reason, wait_s: float = 0.0
    ) -> CallResult:
        self.metrics.count("server_refusals", reason=reason)
        self.log.write(
            "server.refused",
            request=call.request_id.decode("latin-1"),
            reason=reason,
            instance=call.instance_id,
            running=self.queue.running,
            waiting=self.queue.size,
            wait_s=round(wait_s, 3),
            due_s=round(call.soft_deadline - self.loop.time(), 3),
            rate_limit=self.queue.limiter.limit_per_s,
        )
        return CallResult(Outcome.NOT_RUN, reason, retry_after_s=wait_s)

    async def _wait_for_slot(
        self,
        call: ServerCall,
        rank: int,
        queue: AdmissionQueue[asyncio.Future[Reason]],
    ) -> Reason:
        """Waits for a slot; returns why none was granted, or `Reason.NONE`."""
        future: asyncio.Future[Reason] = self.loop.create_future()
        duration_s = queue.expected_duration_s(call.route)
        sequence = queue.enqueue(rank, call.soft_deadline, duration_s, future)
        self._schedule_grant()
        latest_start = call.deadline - duration_s
        timer = self.loop.call_at(latest_start, _refuse_overloaded, future)
        try:
            reason = await future
        except asyncio.CancelledError:
            queue.remove(sequence)
            if future.done() and not future.cancelled() and not future.result():
                queue.release_slot(sent=False)
                self._grant_slots()
            raise
        finally:
            timer.cancel()
        if reason:
            queue.remove(sequence)
        return reason

    def _grant_slots(self) -> None:
        while True:
            future = self.queue.grant_next(self.loop.time())
            if future is None:
                break
            if future.done():
                self.queue.release_slot(sent=False)
                continue
            future.set_result(Reason.NONE)
        self._schedule_grant()

    def _schedule_grant(self) -> None:
        """Grants slots again when the rate limit allows the next request."""
        if self.grant_timer is not None:
            self.grant_timer.cancel()
            self.grant_timer = None
        delay_s = self.queue.next_grant_s(self.loop.time())
        if delay_s is not None:
            self.grant_timer = self.loop.call_later(
                max(MIN_GRANT_DELAY_S, delay_s), self._grant_slots
            )

    async def _run_in_slot(
        self, call: ServerCall, queue: AdmissionQueue[asyncio.Future[Reason]]
    ) -> CallResult:
        started = self.loop.time()
        rank = self._get_rank(call, started)
        result: CallResult | None = None
        try:
            result = await self._attempt(call, queue)
            await self._wait_for_link(call, result)
            return result
        finally:
            queue.release_slot(result is None or result.sent_to_server)
            self._grant_slots()
            ended = self.loop.time()
            queue.record_slot_use(rank, ended - started, ended)
            self.fair_share.add(call.organisation, ended - started, ended)
            self._record_result(call, result, queue, ended - started)

    async def _wait_for_link(
        self, call: ServerCall, result: CallResult
    ) -> None:
        """Keeps the slot until the link may carry a download.

        The queue thereby sees how many downloads the link carries, and refuses
        those that it cannot carry in time.
        """
        response = result.response
        if (
            response is None
            or not call.remote
            or call.route not in self.download_routes
        ):
            return
        now = self.loop.time()
        delay_s = self.link.reserve(len(response.body), now)
        await asyncio.sleep(min(delay_s, max(0.0, call.deadline - now)))

    def apply_routes(self, routes: Iterable[Route]) -> None:
        """Applies the routes, and which of them have large responses."""
        routes = tuple(routes)
        self.route_names = frozenset(route.name for route in routes)
        self.download_routes = frozenset(
            route.name for route in routes if route.is_download
        )

    def _record_result(
        self,
        call: ServerCall,
        result: CallResult | None,
        queue: AdmissionQueue[asyncio.Future[Reason]],
        held_s: float,
    ) -> None:
        if result is None or not result.sent_to_server:
            return
        current = self.registry.current
        if result.kind is ResponseKind.REJECTION:
            # That is the request's fault.
            return
        if result.outcome is Outcome.NOT_RUN:
            # A server that sheds load within its concurrency limit is failing.
            self.failure_share.add(True, self.loop.time())
            return
        failed = result.is_failure
        self.failure_share.add(failed, self.loop.time())
        # Other nodes name the route; only those of the configuration are kept.
        route = call.route if call.route in self.route_names else ""
        if not failed or held_s > queue.mean_service_s:
            queue.record_duration(route, held_s)
        self.metrics.observe("server_duration", held_s)
        if current is not None and self.incarnation == (
            call.instance_id,
            call.born_ms,
        ):
            warming_up = self.loop.time() < self.registry.cold_until
            self.moves.count_outcome(current, route, failed, held_s, warming_up)

    async def _attempt(
        self, call: ServerCall, queue: AdmissionQueue[asyncio.Future[Reason]]
    ) -> CallResult:
        pool = self.pool
        if pool is None:
            return self._refuse(call, Reason.NO_SERVER)
        now = self.loop.time()
        try:
            if call.request_id:
                connection = await pool.acquire(
                    now, call.idempotent, CONNECT_TIMEOUT_S, queue.running
                )
            else:
                connection = await pool.connect(
                    CONNECT_TIMEOUT_S, queue.running
                )
                # Without an id, nothing would tell a late second response
                # from the response to the next request.
                connection.reusable = False
        except ConnectError as error:
            self.log.write("server.unreachable", error=str(error))
            self.on_unreachable()
            return self._refuse(call, Reason.CONNECT_FAILED)
        # While the connection was opened, the server may have deregistered and
        # the node that sent the request may have become unreachable.
        body: Body | None = call.body
        if call.confirm is not None:
            body = await call.confirm()
        reason = self._find_refusal_reason(call)
        if body is None:
            reason = Reason.NOT_CONFIRMED
        if reason:
            pool.release(connection)
            return self._refuse(call, reason)
        now = self.loop.time()
        if not queue.may_send(now):
            pool.release(connection)
            wait_s = queue.rate_delay_s(now)
            return self._refuse(call, Reason.OVERLOADED, wait_s)
        body = body or b""
        digest = digest_request(call.method, call.host, call.target, body)
        admission, retry_after_s = self._judge(digest)
        if admission is Admission.HELD:
            pool.release(connection)
            return self._refuse(call, Reason.HELD, retry_after_s)
        if admission is not Admission.ALONE:
            return await self._send_request(
                call, body, digest, pool, connection, queue
            )
        self.running_alone = True
        try:
            return await self._send_request(
                call, body, digest, pool, connection, queue
            )
        finally:
            self.running_alone = False

    def _judge(self, digest: int) -> tuple[Admission, float]:
        """Returns whether a request may run on the server now."""
        current = self.registry.current
        if current is None or not self.suspects.suspects:
            return Admission.ALLOWED, 0.0
        now = self.loop.time()
        server = (current.service, current.version, digest)
        # The sender has checked how many other servers there are.
        ready_servers = sys.maxsize
        admission, retry_after_s = self.suspects.judge(
            *server, ready_servers, now
        )
        if admission is Admission.ALONE:
            if self.running_alone:
                return Admission.HELD, self.queue.mean_service_s
            self.suspects.start_trial(*server, now)
        return admission, retry_after_s

    async def _send_request(
        self,
        call: ServerCall,
        body: Body,
        digest: int,
        pool: ConnectionPool,
        connection: ClientConnection,
        queue: AdmissionQueue[asyncio.Future[Reason]],
    ) -> CallResult:
        remaining_s = call.deadline - self.loop.time()
        fields = self.settings.fields
        data = encode_request_head(
            call.method,
            call.target,
            [
                *call.headers,
                (fields.deadline_ms, b"%d" % max(1, int(remaining_s * 1000))),
                (fields.expected_instance, call.instance_id.encode()),
            ],
            len(body),
        )
        if len(body) <= LARGE_BYTES:
            data, body = data + body, b""
        outcome, reason = Outcome.UNKNOWN, Reason.CONNECTION_LOST
        if call.request_id:
            self.running_request_ids.add(call.request_id)
        now = self.loop.time()
        self.sent.add(1.0, now)
        queue.begin_send(now)
        self.metrics.count("server_requests")
        try:
            response = await connection.send_request(
                data,
                remaining_s + RESPONSE_GRACE_S,
                call.request_id,
                call.method == "HEAD",
                body,
            )
            pool.release(connection)
            result = self._handle_response(call, response)
            if result.response is not None:
                self._apply_notice(call, result.response)
            if result.kind is ResponseKind.ANSWER:
                self._clear_suspect(call, digest)
            return result
        except ResponseTimeoutError:
            outcome, reason = Outcome.EXPIRED, Reason.TIMEOUT
            # The idle connections may be unresponsive for the same reason.
            pool.drop_idle()
        except ResponseTooLargeError:
            reason = Reason.TOO_LARGE
        except MalformedResponseError:
            reason = Reason.MALFORMED
        except ConnectionLostError:
            reason = Reason.CONNECTION_LOST
            self._handle_lost_request(call, digest, pool)
        finally:
            queue.end_send()
            self.running_request_ids.discard(call.request_id)
        self.metrics.count("server_failures", reason=reason)
        self.log.write(
            "server.failed",
            request=call.request_id.decode("latin-1"),
            reason=reason,
            instance=call.instance_id,
            exchanges=connection.requests_sent,
        )
        return CallResult(outcome, reason, sent_to_server=True)

    def _clear_suspect(self, call: ServerCall, digest: int) -> None:
        current = self.registry.current
        if current is not None and self.incarnation == (
            call.instance_id,
            call.born_ms,
        ):
            self.suspects.record_answer(
                current.service, current.version, digest
            )

    def _handle_lost_request(
        self, call: ServerCall, digest: int, pool: ConnectionPool
    ) -> None:
        current = self.registry.current
        if (
            current is not None
            and not current.leaving
            and (current.id, current.born_ms)
            == (call.instance_id, call.born_ms)
        ):
            self.end_detector.handle_lost_request(
                digest, current, pool, self.queue.running
            )

    def _apply_notice(self, call: ServerCall, response: HttpResponse) -> None:
        """Applies what a valid response says about the server's state."""
        key = (call.instance_id, call.born_ms)
        if self.incarnation != key:
            return
        load = read_server_load(response, self.settings.fields)
        if load is not None:
            self.pace.add(load.pace, self.loop.time())
        changed = False
        if is_leaving(response, self.settings.fields):
            changed = self.registry.mark_leaving(*key)
        try:
            limit = read_rate_limit(response, self.settings.fields)
        except InvalidRateLimitError as error:
            self.log.write(
                "server.invalid_notice",
                instance=call.instance_id,
                error=str(error),
            )
        else:
            self._apply_rate_limit(call.instance_id, limit)
            limit = self.queue.limiter.limit_per_s
            wall_ms = int(time.time() * 1000)
            changed = (
                self.registry.apply_rate_limit(*key, limit, wall_ms) or changed
            )
        if changed:
            self.on_response()

    def _apply_rate_limit(self, instance_id: str, limit: float | None) -> None:
        now = self.loop.time()
        limiter = self.queue.limiter
        previous = limiter.limit_per_s
        if not limiter.apply_limit(limit, now):
            return
        self.metrics.set("server_rate_limit", limiter.limit_per_s or 0.0)
        self.log.write(
            "server.notice",
            instance=instance_id,
            rate_limit=limiter.limit_per_s,
            previous=previous,
            sent_per_s=round(self.sent.value(now), 1),
            running=self.queue.running,
            waiting=self.queue.size,
        )
        self._grant_slots()

    def _handle_response(
        self, call: ServerCall, response: HttpResponse
    ) -> CallResult:
        """Returns the result of an attempt that was answered."""
        kind = classify_response(response, self.settings.fields)
        if kind is ResponseKind.MISDIRECTED:
            self.on_unreachable()
            return CallResult(
                Outcome.NOT_RUN, Reason.WRONG_INSTANCE, sent_to_server=True
            )
        if kind is ResponseKind.MALFORMED:
            self._log_response(call, response, Reason.MALFORMED)
            return CallResult(
                Outcome.UNKNOWN, Reason.MALFORMED, sent_to_server=True
            )
        outcome, reason = Outcome.ANSWERED, Reason.NONE
        if kind in (ResponseKind.REFUSAL, ResponseKind.REJECTION):
            outcome, reason = Outcome.NOT_RUN, Reason.SHED_BY_SERVER
        elif kind is ResponseKind.UNCONFIRMED:
            self._log_response(call, response, Reason.UNCONFIRMED)
        return CallResult(
            outcome, reason, response, sent_to_server=True, kind=kind
        )

    def _log_response(
        self, call: ServerCall, response: HttpResponse, reason: Reason
    ) -> None:
        """Logs a response that is not valid as it is."""
        self.metrics.count("server_failures", reason=reason)
        self.log.write(
            "server.failed",
            request=call.request_id.decode("latin-1"),
            reason=reason,
            instance=call.instance_id,
            status=response.status,
        )


def _refuse_overloaded(future: "asyncio.Future[Reason]") -> None:
    if not future.done():
        future.set_result(Reason.OVERLOADED)
