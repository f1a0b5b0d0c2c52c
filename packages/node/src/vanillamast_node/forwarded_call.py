"""Forwards one request to a backend server."""

import asyncio
import collections
import hashlib
import uuid
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import multidict
from vanillamast_core import VanillamastError
from vanillamast_core.peers import ClaimKey, KeyAnswer, SettleKey
from vanillamast_core.requests import (
    Answer,
    Attempt,
    BodyCut,
    BodyEnded,
    BodyRejected,
    BytesSent,
    CallerGone,
    Cancel,
    Claim,
    CloseConnection,
    ConnectFailed,
    Disconnected,
    Exchange,
    ExchangeEffect,
    ExchangeEvent,
    HeadersReceived,
    KeyAnswered,
    NotRun,
    Refusal,
    Refuse,
    ReportAttempt,
    RoutingDecision,
    Settle,
    TimedOut,
    make_refusal,
)

from vanillamast_node import header_fields
from vanillamast_node.caller_protocol import CONNECTION_KEY, CallerProtocol
from vanillamast_node.forwarding_context import ForwardingContext
from vanillamast_node.proxy_errors import (
    BodyRejectedError,
    CallerGoneError,
    ResponseAbortedError,
    UpstreamConnectError,
    UpstreamLostError,
)
from vanillamast_node.request_body import Receive, RequestBody
from vanillamast_node.request_header import RequestHeader, parse_header

_LENGTH_FIELD = frozenset({b"content-length"})
_NO_FIELDS: frozenset[bytes] = frozenset()
_BODILESS_STATUSES = frozenset({204, 304})
_SHED_STATUS = 503
_FIRST_FINAL_STATUS = 200


class ForwardedCall:
    """Executes the effects of one `Exchange`.

    The call runs in the task of the ASGI application. A timer or a lost
    connection interrupts it by cancelling the task, if it waits at a point
    where `interruptible` is set.

    Attributes:
      context: Dependencies shared by all requests.
      scope: ASGI scope.
      connection: The caller's connection.
      arrived_at: Monotonic time, in seconds, when the request arrived.
      exchange: The request's state machine, None before it is routed.
      body: The request body.
      response: Response of the current attempt.
      response_fields: Header fields of the response to the caller.
      pending_effects: Effects that have not been executed yet.
      interruptible: Whether the task may be cancelled by `_interrupt`.
      interrupted: Whether `_interrupt` has cancelled the task.
    """

    __slots__ = (
        "arrived_at",
        "body",
        "claim_id",
        "connection",
        "context",
        "exchange",
        "header",
        "interrupted",
        "interruptible",
        "loop",
        "pending_effects",
        "response",
        "response_fields",
        "scope",
        "task",
        "timer",
        "waiter",
    )

    def __init__(
        self,
        context: ForwardingContext,
        scope: dict[str, Any],
        receive: Receive,
    ):
        self.context = context
        self.scope = scope
        self.connection: CallerProtocol = scope[CONNECTION_KEY]
        self.loop = asyncio.get_running_loop()
        self.arrived_at = self.loop.time()
        self.exchange: Exchange | None = None
        self.header: RequestHeader
        settings = context.settings
        self.body = RequestBody(
            receive, settings.body_bytes, settings.replay_bytes
        )
        self.response: aiohttp.ClientResponse | None = None
        self.response_fields: header_fields.RawFields | None = None
        self.pending_effects: collections.deque[ExchangeEffect] = (
            collections.deque()
        )
        self.task = asyncio.current_task(self.loop)
        self.timer: asyncio.TimerHandle | None = None
        self.waiter: asyncio.Future[None] | None = None
        self.interruptible = False
        self.interrupted = False
        self.claim_id = ""

    # Life cycle of the request.

    async def run(self) -> Refusal | None:
        """Runs the request until a response or a refusal is available.

        Returns:
          A refusal, or None if the response is in `response`.

        Raises:
          ResponseAbortedError: The caller's connection must be closed without a
            response.
        """
        routed = self._route()
        if isinstance(routed, Refusal):
            self._log_refusal(routed)
            return routed
        self._start_exchange(routed)
        while True:
            effect = await self._wait_for_effect()
            if isinstance(effect, Attempt):
                await self._run_attempt(effect)
            elif isinstance(effect, Answer):
                self._record_added_time(routed)
                return None
            elif isinstance(effect, Refuse):
                self._log_refusal(effect.refusal)
                return effect.refusal
            elif isinstance(effect, Claim):
                await self._claim_key(routed)
            elif isinstance(effect, Cancel):
                self._drop_response()
            elif isinstance(effect, CloseConnection):
                raise ResponseAbortedError("the request was cancelled")

    def _record_added_time(self, exchange: Exchange) -> None:
        attempt_s = exchange.headers_at - exchange.started_at
        total_s = self.loop.time() - self.arrived_at
        self.context.record_added_time(max(0.0, total_s - attempt_s))

    def _route(self) -> Exchange | Refusal:
        scope = self.scope
        self.header = header = parse_header(scope)
        if header.problem:
            return make_refusal("bad_request", header.problem)
        if scope["http_version"] != "1.1":
            return make_refusal("version_not_supported")
        if header.body_length and header.body_length > self.body.limit_bytes:
            return make_refusal("body_too_large")
        routed = self.context.router.route(
            scope["method"], scope["path"], header.inputs, self.loop.time()
        )
        if (
            isinstance(routed, Exchange)
            and routed.deadline.at > self.context.last_deadline
        ):
            return make_refusal("stopping")
        return routed

    def _start_exchange(self, exchange: Exchange) -> None:
        self.exchange = exchange
        exchange.owner = self
        self.connection.on_lost = self._handle_caller_gone
        self.connection.on_malformed = self._handle_malformed_body
        now = self.loop.time()
        self.execute_effects(self.context.router.start(exchange, now))
        self._set_timer(exchange.timer_at)

    def finish(self) -> None:
        """Releases all resources of the request, however it ended."""
        self.connection.on_lost = None
        self.connection.on_malformed = None
        if self.timer is not None:
            self.timer.cancel()
        exchange = self.exchange
        if exchange is not None and not exchange.ended:
            self._handle_event(CallerGone())
        self._drop_response()
        # Breaks reference cycles, so that requests need no garbage collection,
        # which pauses the process for several milliseconds.
        self.timer = None
        self.task = None
        if exchange is not None:
            exchange.owner = None

    async def _wait_for_effect(self) -> ExchangeEffect:
        while not self.pending_effects:
            self.waiter = self.loop.create_future()
            try:
                await self.waiter
            finally:
                self.waiter = None
        return self.pending_effects.popleft()

    def _handle_event(self, event: ExchangeEvent) -> list[ExchangeEffect]:
        """Passes an event to the state machine; executes its effects."""
        exchange = self.exchange
        assert exchange is not None
        effects = self.context.router.handle(exchange, event, self.loop.time())
        if effects:
            self.execute_effects(effects)
        return effects

    def execute_effects(self, effects: list[ExchangeEffect]) -> None:
        """Executes effects, each on the call that owns its exchange."""
        for effect in effects:
            if isinstance(effect, ReportAttempt):
                self.context.record_attempt(effect.result)
                continue
            call: ForwardedCall = effect.exchange.owner
            if isinstance(effect, Settle):
                call._settle_key(effect.status)
            else:
                call._queue_effect(effect)

    def _queue_effect(self, effect: ExchangeEffect) -> None:
        if isinstance(effect, Attempt):
            self.context.record_decision(effect.decision)
        self.pending_effects.append(effect)
        waiter = self.waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _log_refusal(self, refusal: Refusal) -> None:
        exchange = self.exchange
        name = exchange.route_name if exchange is not None else ""
        service = exchange.pool.service if exchange is not None else ""
        self.context.record_decision(
            RoutingDecision(name, service, "", "", "", 0, "", 0, refusal.kind)
        )

    # Interruptions by timers and by the caller's connection.

    def _set_timer(self, at: float) -> None:
        self.timer = self.loop.call_at(at, self._handle_timer)

    def _handle_timer(self) -> None:
        exchange = self.exchange
        assert exchange is not None
        if exchange.ended:
            return
        if self.loop.time() >= exchange.timer_at:
            self._interrupt(TimedOut())
        if not exchange.ended:
            self._set_timer(exchange.timer_at)

    def _handle_caller_gone(self) -> None:
        self._interrupt(CallerGone())

    def _handle_malformed_body(self) -> None:
        self._interrupt(BodyRejected("bad_request"))

    def _interrupt(self, event: ExchangeEvent) -> None:
        exchange = self.exchange
        if exchange is None or exchange.ended:
            return
        effects = self._handle_event(event)
        had_effect = any(e.exchange is exchange for e in effects)
        if exchange.ended and not self.pending_effects:
            self._queue_effect(CloseConnection(exchange))
        if had_effect and self.interruptible and not self.interrupted:
            self.interrupted = True
            assert self.task is not None
            self.task.cancel()

    def absorb_interruption(self) -> bool:
        """Returns whether `_interrupt` cancelled the task, and resets it."""
        self.interruptible = False
        if not self.interrupted:
            return False
        self.interrupted = False
        assert self.task is not None
        self.task.uncancel()
        return True

    # Attempts.

    async def _run_attempt(self, attempt: Attempt) -> None:
        number = attempt.number
        self.interruptible = True
        try:
            response = await self._send_attempt(attempt)
        except asyncio.CancelledError:
            if not self.absorb_interruption():
                raise
        except UpstreamConnectError:
            self._handle_event(ConnectFailed(number))
        except (UpstreamLostError, CallerGoneError, BodyRejectedError) as error:
            self._handle_attempt_error(number, error)
        else:
            self.response = response
            await self._handle_response(number, response)
        finally:
            self.interruptible = False

    def _handle_attempt_error(
        self, number: int, error: VanillamastError
    ) -> None:
        if isinstance(error, CallerGoneError):
            self._handle_event(CallerGone())
            assert self.exchange is not None
            self._queue_effect(CloseConnection(self.exchange))
        elif isinstance(error, BodyRejectedError):
            self._handle_event(BodyRejected("body_too_large"))
        else:
            self._handle_event(Disconnected(number))

    async def _send_attempt(self, attempt: Attempt) -> aiohttp.ClientResponse:
        exchange = attempt.exchange
        body: bytes | AsyncIterator[bytes] | None = None
        if self.header.body_length != 0:
            await self.body.read_first_chunk()
            body = self.body.get_complete_body()
            if body is None:
                body = self._stream_request_body(exchange)
        scope = self.scope
        target = scope["raw_path"].decode("ascii")
        if scope["query_string"]:
            target += "?" + scope["query_string"].decode("ascii")
        fields = self._make_request_fields(exchange)
        return await self.context.upstream.send(
            exchange.method,
            attempt.server.announcement.server_address,
            target,
            fields,
            body,
            self._handle_connected,
        )

    def _handle_connected(self) -> None:
        assert self.exchange is not None
        self._handle_event(BytesSent(self.exchange.attempts))

    async def _stream_request_body(
        self, exchange: Exchange
    ) -> AsyncIterator[bytes]:
        try:
            async for chunk in self.body.iterate_chunks():
                exchange.replayable = self.body.replayable
                yield chunk
        except CallerGoneError:
            self._interrupt(CallerGone())
            raise
        except BodyRejectedError:
            self._interrupt(BodyRejected("body_too_large"))
            raise

    def _make_request_fields(
        self, exchange: Exchange
    ) -> "multidict.CIMultiDict[str]":
        fields: multidict.CIMultiDict[str] = multidict.CIMultiDict()
        for name, value in header_fields.forwarded_request_fields(
            self.header.fields
        ):
            fields.add(name.decode("ascii"), value.decode("utf-8"))
        remaining_ms = exchange.deadline.remaining_ms(self.loop.time())
        fields["vanillamast-deadline-ms"] = str(remaining_ms)
        attempt = exchange.inputs.attempt + exchange.attempts - 1
        fields["vanillamast-attempt"] = str(attempt)
        fields.add("via", f"1.1 {self.context.settings.via}")
        return fields

    async def _handle_response(
        self, number: int, response: aiohttp.ClientResponse
    ) -> None:
        self._record_load(response)
        status = response.status
        not_run = response.headers.get(header_fields.NOT_RUN_FIELD)
        if status == _SHED_STATUS and not_run == "1":
            await self._read_shed_response(response)
            self._handle_event(NotRun(number, status))
            return
        if status < _FIRST_FINAL_STATUS:
            # The node requested no upgrade, so the connection state is unknown.
            self._handle_event(Disconnected(number))
            self._drop_response()
            return
        self.response_fields = self._make_response_fields(response)
        self._handle_event(HeadersReceived(number, status))

    def _record_load(self, response: aiohttp.ClientResponse) -> None:
        load = response.headers.get(header_fields.LOAD_FIELD)
        assert self.exchange is not None
        server = self.exchange.server
        if load is None or server is None:
            return
        try:
            server.report_load(float(load), self.loop.time())
        except ValueError:
            return

    async def _read_shed_response(
        self, response: aiohttp.ClientResponse
    ) -> None:
        """Reads a short shed response, so that its connection can be reused."""
        length = response.content_length
        try:
            if (
                length is not None
                and length <= self.context.settings.error_body_bytes
            ):
                await response.read()
        except aiohttp.ClientError:
            pass
        finally:
            self._drop_response()

    def _make_response_fields(
        self, response: aiohttp.ClientResponse
    ) -> header_fields.RawFields:
        dropped = (
            _LENGTH_FIELD
            if response.status in _BODILESS_STATUSES
            else _NO_FIELDS
        )
        raw = [(name.lower(), value) for name, value in response.raw_headers]
        fields = header_fields.end_to_end_fields(raw, dropped)
        fields.append((b"via", b"1.1 " + self.context.settings.via.encode()))
        return fields

    def _drop_response(self) -> None:
        """Closes the connection of an attempt that was not completed."""
        response = self.response
        self.response = None
        if response is not None:
            response.close()

    # The response.

    def read_buffered_response(self) -> bytes | None:
        """Returns the response body if it has been received completely."""
        response = self.response
        assert response is not None
        content = response.content
        if not content.is_eof() or content.exception() is not None:
            return None
        body = content.read_nowait()
        self.end_response()
        return body

    async def stream_response(self) -> AsyncIterator[bytes]:
        """Yields the response body as it arrives.

        Raises:
          ResponseAbortedError: The backend server's connection failed before
            the end of the body.
        """
        exchange = self.exchange
        response = self.response
        assert exchange is not None
        assert response is not None
        self.interruptible = True
        number = exchange.attempts
        try:
            while chunk := await response.content.readany():
                yield chunk
        except (aiohttp.ClientError, OSError) as error:
            self._handle_event(BodyCut(number))
            raise ResponseAbortedError(str(error)) from error
        self.end_response()

    def end_response(self) -> None:
        """Ends the exchange after the whole response was forwarded."""
        exchange = self.exchange
        response = self.response
        assert exchange is not None
        assert response is not None
        self.interruptible = False
        if self.header.body_length == 0 or self.body.complete:
            self.response = None
            response.release()
        self._handle_event(BodyEnded(exchange.attempts))

    # Idempotency keys.

    async def _claim_key(self, exchange: Exchange) -> None:
        self.claim_id = uuid.uuid4().hex
        method_and_path = f"{exchange.method} {self.scope['path']}"
        claim = ClaimKey(
            exchange.pool.service,
            exchange.inputs.key,
            self.claim_id,
            hashlib.blake2b(method_and_path.encode(), digest_size=8).digest(),
        )
        answer: KeyAnswer | None = None
        self.interruptible = True
        try:
            answer = await self.context.claim_key(claim)
        except asyncio.CancelledError:
            if not self.absorb_interruption():
                raise
            return
        except (VanillamastError, OSError):
            answer = None
        finally:
            self.interruptible = False
        self._handle_event(KeyAnswered(answer))

    def _settle_key(self, status: int) -> None:
        exchange = self.exchange
        assert exchange is not None
        settle = SettleKey(
            exchange.pool.service, exchange.inputs.key, self.claim_id, status
        )
        task = self.loop.create_task(self._send_settlement(settle))
        self.context.settlement_tasks.add(task)
        task.add_done_callback(self.context.settlement_tasks.discard)

    async def _send_settlement(self, settle: SettleKey) -> None:
        try:
            await self.context.settle_key(settle)
        except (VanillamastError, OSError):
            # Without a settlement the home node keeps the key as running until
            # it expires and refuses further requests with it.
            return
