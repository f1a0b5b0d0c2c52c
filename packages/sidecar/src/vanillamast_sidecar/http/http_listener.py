"""HTTP/1.1 connections of callers."""

import asyncio
import dataclasses
import sys
from collections import deque
from collections.abc import Awaitable, Callable

import httptools

from vanillamast_sidecar.http.byte_budget import ByteBudget
from vanillamast_sidecar.http.caller_limits import CallerLimits
from vanillamast_sidecar.http.http_message import (
    Body,
    Headers,
    HttpRequest,
    HttpResponse,
)
from vanillamast_sidecar.http.http_writer import encode_response
from vanillamast_sidecar.http.transport_writer import LARGE_BYTES

Handler = Callable[[HttpRequest, float], Awaitable[HttpResponse]]

# Reading from a connection pauses while more pipelined requests are pending.
MAX_PIPELINED_REQUESTS = 32
# Requests of one connection that run at the same time.
MAX_CONCURRENT_REQUESTS = 8
# Methods that may run before the responses to earlier requests were sent. A
# request behind a response that closes its connection is sent again, whatever
# its kind, so no other one may have run.
CONCURRENT_METHODS = frozenset(("GET", "HEAD"))
# Retry-After of a request whose body finds no room, in seconds: about the time
# in which a long body is passed on.
BODY_RETRY_AFTER = b"1"
# Bytes that arrive with the last byte of a header section.
READ_BYTES = 262_144


class HttpListener:
    """State that the connections of one listening address share.

    Attributes:
      handler: Returns the response to a request that arrived at a given time.
      limits: Limits on what callers may send; replaced with each version of
        the configuration.
      body_budget: Bytes of long request bodies that are held at once; a
        request beyond it is refused.
      closing: Whether connections are closed after their next response.
      connections: Open connections.
      active_requests: Number of requests that the handler runs.
      accepted: Number of connections accepted so far.
    """

    def __init__(
        self,
        handler: Handler,
        limits: CallerLimits | None = None,
        body_budget: ByteBudget | None = None,
    ):
        self.handler = handler
        self.body_budget = body_budget or ByteBudget(sys.maxsize)
        self.limits = limits or CallerLimits()
        self.closing = False
        self.connections: set[HttpConnection] = set()
        self.active_requests = 0
        self.accepted = 0

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Starts accepting connections."""
        loop = asyncio.get_running_loop()
        return await loop.create_server(
            lambda: HttpConnection(self), host, port, backlog=1024
        )

    def is_busy(self) -> bool:
        """Returns whether a request runs or a response is being sent."""
        return self.active_requests > 0 or any(
            connection.is_busy() for connection in self.connections
        )

    def close_idle(self) -> None:
        """Closes the connections that have no request."""
        for connection in list(self.connections):
            connection.close_if_idle()


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request whose response has not been sent yet.

    Attributes:
      request: The request; None if it was rejected while it was read.
      rejection: Response to a rejected request.
      arrived_at: When the whole request had arrived, in loop time.
      keep_alive: Whether the connection stays open after it.
      held_bytes: Bytes of the budget that its body takes.
      task: Runs the request; None before it has started.
    """

    request: HttpRequest | None
    rejection: HttpResponse | None
    arrived_at: float
    keep_alive: bool
    held_bytes: int = 0
    task: asyncio.Task[HttpResponse] | None = None

    @property
    def may_overtake(self) -> bool:
        """Returns whether it may run while earlier requests still run."""
        request = self.request
        return request is not None and request.method in CONCURRENT_METHODS


class HttpConnection(asyncio.Protocol):
    """Reads requests and writes their responses in the same order.

    Attributes:
      listener: State shared with the other connections.
      transport: The connection; None while it is not open.
      pending: Requests without a response, in the order of their arrival.
      task: Writes the responses; None while there is nothing to write.
    """

    def __init__(self, listener: HttpListener):
        self.listener = listener
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.pending: deque[PendingRequest] = deque()
        self.task: asyncio.Task[None] | None = None
        self._target = b""
        self._headers: Headers = []
        self._header_bytes = 0
        self._unparsed_bytes = 0
        self._body = bytearray()
        self._body_is_reserved = False
        self._body_bytes = 0
        self._held_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._in_message = False
        self._in_head = False
        self._rejected = False

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts the idle timer."""
        self.transport = transport  # type: ignore[assignment]
        self.listener.connections.add(self)
        self.listener.accepted += 1
        self._start_timer(
            self.listener.limits.idle_timeout_s, self._handle_idle_timeout
        )

    def data_received(self, data: bytes) -> None:
        """Passes the bytes to the parser."""
        if self._rejected:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400)
        except httptools.HttpParserError:
            self._reject(400)
        # The parser keeps an incomplete header field of any length.
        self._unparsed_bytes += len(data)
        if not self._in_head:
            self._unparsed_bytes = 0
        elif (
            self._unparsed_bytes
            > self.listener.limits.header_bytes + READ_BYTES
        ):
            self._reject(431)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels all requests."""
        self.transport = None
        self.listener.connections.discard(self)
        self._stop_timer()
        for entry in self.pending:
            if entry.task is not None:
                entry.task.cancel()
            self._release(entry)
        self.pending.clear()
        self._drop_body()
        if self.task is not None:
            self.task.cancel()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._body_is_reserved = False
        self._body_bytes = 0
        self._in_message = True
        self._in_head = True
        self._start_timer(
            self.listener.limits.header_timeout_s, self._handle_header_timeout
        )

    def on_url(self, url: bytes) -> None:
        """Stores a piece of the target."""
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field."""
        self._headers.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)

    def _count_header(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self.listener.limits.header_bytes:
            self._reject(431)

    def on_headers_complete(self) -> None:
        """Sends 100 Continue if the caller expects it."""
        self._in_head = False
        self._stop_timer()
        if self._rejected or self.transport is None:
            return
        for name, value in self._headers:
            expected = name == b"expect" and value.lower() == b"100-continue"
            # Behind other requests, it would precede their responses.
            if expected and not self.pending:
                self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            if name == b"content-length":
                self._reserve_body(int(value))

    def _reserve_body(self, size: int) -> None:
        """Reserves a long body at once: a growing buffer is copied often.

        The pages count as memory only once bytes have arrived in them.
        """
        if not LARGE_BYTES < size <= self.listener.limits.body_bytes:
            return
        if self._hold(size):
            self._body = bytearray(size)
            self._body_is_reserved = True

    def on_body(self, data: bytes) -> None:
        """Stores a piece of the body."""
        if self._rejected:
            return
        start = self._body_bytes
        self._body_bytes += len(data)
        if self._body_is_reserved:
            self._body[start : self._body_bytes] = data
        elif self._body_bytes <= LARGE_BYTES or self._hold(len(data)):
            self._body += data
        if self._body_bytes > self.listener.limits.body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Queues the complete request."""
        self._in_message = False
        if self._rejected:
            return
        request = HttpRequest(
            self.parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            self._headers,
            self._take_body(),
        )
        keep_alive = self.parser.should_keep_alive()
        held_bytes, self._held_bytes = self._held_bytes, 0
        self._add_pending(
            PendingRequest(
                request, None, self.loop.time(), keep_alive, held_bytes
            )
        )

    def _hold(self, size: int) -> bool:
        """Takes bytes of the budget; rejects the request without enough."""
        if self.listener.body_budget.try_acquire(size):
            self._held_bytes += size
            return True
        self._reject(503, [(b"Retry-After", BODY_RETRY_AFTER)])
        return False

    def _drop_body(self) -> None:
        self.listener.body_budget.release(self._held_bytes)
        self._held_bytes = 0
        self._body = bytearray()
        self._body_is_reserved = False

    def _release(self, entry: PendingRequest) -> None:
        self.listener.body_budget.release(entry.held_bytes)
        entry.held_bytes = 0

    def _take_body(self) -> Body:
        """Returns the body; a long one is not copied."""
        body = self._body
        self._body = bytearray()
        return body if len(body) > LARGE_BYTES else bytes(body)

    # Responses.

    def _add_pending(self, entry: PendingRequest) -> None:
        self.pending.append(entry)
        if (
            len(self.pending) > MAX_PIPELINED_REQUESTS
            and self.transport is not None
        ):
            self.transport.pause_reading()
        self._start_pending()
        if self.task is None:
            self.task = self.loop.create_task(self._write_responses())

    def _start_pending(self) -> None:
        """Starts the requests that may run now."""
        for position, entry in enumerate(self.pending):
            if position >= MAX_CONCURRENT_REQUESTS:
                return
            if position > 0 and (
                not entry.may_overtake
                or not self.pending[position - 1].may_overtake
                or not self.pending[position - 1].keep_alive
                or self.listener.closing
            ):
                return
            if entry.task is None and entry.request is not None:
                entry.task = self.loop.create_task(
                    self._run(entry.request, entry.arrived_at)
                )

    async def _run(
        self, request: HttpRequest, arrived_at: float
    ) -> HttpResponse:
        self.listener.active_requests += 1
        try:
            return await self.listener.handler(request, arrived_at)
        finally:
            self.listener.active_requests -= 1

    async def _write_responses(self) -> None:
        """Writes the responses in the order of the requests."""
        try:
            while self.pending:
                entry = self.pending[0]
                self._start_pending()
                try:
                    response = await self._get_response(entry)
                except Exception:
                    # The exception handler of the event loop logs the error.
                    self._write(entry, HttpResponse(500, []), False)
                    raise
                if not self._write(entry, response, entry.keep_alive):
                    return
                self._release(self.pending.popleft())
        finally:
            self.task = None
        if self.transport is not None:
            self.transport.resume_reading()
            if not self._in_message:
                self._start_timer(
                    self.listener.limits.idle_timeout_s,
                    self._handle_idle_timeout,
                )

    async def _get_response(self, entry: PendingRequest) -> HttpResponse:
        if entry.task is None:
            return entry.rejection or HttpResponse(500, [])
        return await entry.task

    def _write(
        self, entry: PendingRequest, response: HttpResponse, keep_alive: bool
    ) -> bool:
        """Writes a response; returns whether the connection stays open."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return False
        keep_alive = keep_alive and (
            not self.listener.closing or self._owes_later_response()
        )
        request = entry.request
        head_only = request is not None and request.method == "HEAD"
        transport.write(encode_response(response, keep_alive, head_only))
        if not keep_alive:
            self._shut_down()
        return keep_alive

    def _owes_later_response(self) -> bool:
        """Returns whether a request behind the first one has been started."""
        return len(self.pending) > 1 and (
            self.pending[1].task is not None
            or self.pending[1].rejection is not None
        )

    def _reject(self, status: int, headers: Headers | None = None) -> None:
        """Rejects a request that violates the protocol or a limit.

        Its response follows those to the earlier requests.
        """
        if self._rejected:
            return
        self._rejected = True
        self._stop_timer()
        self._drop_body()
        if self.transport is not None:
            self._add_pending(
                PendingRequest(
                    None,
                    HttpResponse(status, headers or []),
                    self.loop.time(),
                    False,
                )
            )

    def _shut_down(self) -> None:
        self._stop_timer()
        if self.transport is not None:
            self.transport.close()

    def is_busy(self) -> bool:
        """Returns whether a response has not been sent completely."""
        return bool(self.pending) or (
            self.transport is not None
            and self.transport.get_write_buffer_size() > 0
        )

    def close_if_idle(self) -> None:
        """Closes the connection if it has no request."""
        if self.task is None and not self._in_message:
            self._shut_down()

    # Timers.

    def _start_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(delay_s, action)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_idle_timeout(self) -> None:
        if self.task is None and not self._in_message:
            self._shut_down()

    def _handle_header_timeout(self) -> None:
        self._reject(408)
