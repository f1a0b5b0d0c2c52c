"""One HTTP/1.1 connection of a caller."""

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING

from vanillamast_sidecar.http.http_message import (
    Headers,
    HttpRequest,
    HttpResponse,
)
from vanillamast_sidecar.http.http_writer import encode_response
from vanillamast_sidecar.http.memory_costs import (
    CONNECTION_BYTES,
    get_response_cost,
)
from vanillamast_sidecar.http.pending_request import PendingRequest
from vanillamast_sidecar.http.request_reader import RequestReader

if TYPE_CHECKING:
    from vanillamast_sidecar.http.http_listener import HttpListener

# Reading from a connection pauses while more pipelined requests are pending.
MAX_PIPELINED_REQUESTS = 32
# The same while its pending requests cost more: one large request is read, but
# not the next ones behind it.
MAX_PIPELINED_BYTES = 131_072
# Requests of one connection that run at the same time.
MAX_CONCURRENT_REQUESTS = 8
# A caller that has closed its sending side looks like one that is gone. The
# kernel of one that is gone answers any byte with a reset, so the start of the
# response is sent early, a byte at a time.
END_PROBE_S = 0.05
END_PROBE_GROWTH = 2.0
# Time for that reset; callers are on the same machine.
PROBE_ANSWER_S = 0.02
RESPONSE_START = b"HTTP/1.1 "
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
REQUEST_TIMEOUT = 408


class HttpConnection(asyncio.BufferedProtocol):
    """Reads requests and writes their responses in the same order.

    Attributes:
      listener: State shared with the other connections.
      transport: The connection; None while it is not open.
      reader: Parses the received bytes.
      pending: Requests without a response, in the order of their arrival.
      task: Writes the responses; None while there is nothing to write.
      charged: What the connection costs, of the memory account.
      last_received_at: When bytes last arrived, in loop time.
    """

    def __init__(self, listener: "HttpListener"):
        self.listener = listener
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport | None = None
        self.reader = RequestReader(self)
        self.pending: deque[PendingRequest] = deque()
        self.task: asyncio.Task[None] | None = None
        self.charged = 0
        self.last_received_at = 0.0
        self._backlog = b""
        self._at_end = False
        # Bytes of the next response that have been sent.
        self._sent_early = 0
        self._probe_s = END_PROBE_S
        self._drained: asyncio.Future[None] | None = None
        self._unwritten_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._write_timer: asyncio.TimerHandle | None = None
        self._probe_timer: asyncio.TimerHandle | None = None

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts the idle timer."""
        self.transport = transport  # type: ignore[assignment]
        assert self.transport is not None
        # Reports every byte that the client has not taken.
        self.transport.set_write_buffer_limits(0)
        self.last_received_at = self.loop.time()
        self._start_timer(
            self.listener.limits.idle_timeout_s, self._handle_idle_timeout
        )
        self.listener.charge(self, CONNECTION_BYTES)
        self.listener.add(self)

    def get_buffer(self, size_hint: int) -> memoryview:
        """Returns a buffer that is in use until `buffer_updated` returns."""
        return self.listener.read_buffer

    def buffer_updated(self, size: int) -> None:
        """Parses received bytes; keeps those behind a request that waits."""
        self.last_received_at = self.loop.time()
        self._feed(self.listener.read_buffer[:size])

    def _feed(self, data: memoryview) -> None:
        taken = self.reader.feed(data, self._may_read)
        if self._timer is None and self.reader.is_in_body():
            self._start_timer(
                self.listener.limits.idle_timeout_s, self._handle_body_timeout
            )
        if taken == len(data) or self.transport is None:
            return
        rest = bytes(data[taken:])
        if not self.listener.try_charge(self, len(rest)):
            self.reader.reject_for_room()
            return
        self._backlog = rest
        self.transport.pause_reading()

    def _may_read(self) -> bool:
        """Returns whether another request may be read now."""
        return not self.pending or (
            len(self.pending) <= MAX_PIPELINED_REQUESTS
            and sum(entry.charged for entry in self.pending)
            < MAX_PIPELINED_BYTES
        )

    def _go_on_reading(self) -> None:
        """Parses what was kept, then reads on."""
        if self.transport is None or self.transport.is_closing():
            return
        if self._backlog and self._may_read():
            data, self._backlog = self._backlog, b""
            self.listener.release(self, len(data))
            self._feed(memoryview(data))
        if not self._backlog and not self._at_end:
            self.transport.resume_reading()

    def pause_writing(self) -> None:
        """Notes that the client has not taken all bytes."""
        self._drained = self.loop.create_future()
        self._watch_writing()

    def resume_writing(self) -> None:
        """Goes on with the next response."""
        self._stop_write_timer()
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        self._drained = None

    def _watch_writing(self) -> None:
        """Checks later whether the client has taken more bytes."""
        if self.transport is not None:
            self._unwritten_bytes = self.transport.get_write_buffer_size()
            self._write_timer = self.loop.call_later(
                self.listener.limits.idle_timeout_s, self._handle_write_timeout
            )

    def eof_received(self) -> bool:
        """Answers the complete requests of a client that sends no more."""
        self._at_end = True
        if not self.pending and not self._backlog:
            return False
        self._start_probe()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Cancels all requests."""
        self.transport = None
        self.listener.remove(self)
        for timer in (self._timer, self._write_timer, self._probe_timer):
            if timer is not None:
                timer.cancel()
        for entry in self.pending:
            if entry.task is not None:
                entry.task.cancel()
            self._release(entry)
        self.pending.clear()
        self.reader.drop()
        self._backlog = b""
        self.listener.release(self, self.charged)
        if self.task is not None:
            self.task.cancel()

    # Callbacks of the reader.

    def handle_head_begin(self) -> None:
        """Starts the timer of the header section."""
        self._start_timer(
            self.listener.limits.header_timeout_s, self._handle_header_timeout
        )

    def handle_head_end(self, continue_expected: bool) -> None:
        """Ends the timer of the header section; sends 100 Continue."""
        self._stop_timer()
        # Behind other requests, it would precede their responses.
        if continue_expected and not self.pending and self.transport:
            self.transport.write(CONTINUE)

    def handle_request(
        self,
        request: HttpRequest,
        keep_alive: bool,
        held_bytes: int,
        charged: int,
    ) -> None:
        """Queues a complete request."""
        self._stop_timer()
        self.listener.unserved.pop(self, None)
        self._add_pending(
            PendingRequest(
                request,
                None,
                self.loop.time(),
                keep_alive,
                held_bytes,
                charged,
            )
        )

    def handle_rejection(
        self, status: int, kind: str, headers: Headers
    ) -> None:
        """Queues the response to a request that violates a limit.

        Its response follows those to the earlier requests.
        """
        self._stop_timer()
        if self.transport is None:
            return
        self.listener.on_limit(kind, self.transport)
        self._add_pending(
            PendingRequest(
                None, HttpResponse(status, headers), self.loop.time(), False
            )
        )

    # Responses.

    def _add_pending(self, entry: PendingRequest) -> None:
        self.pending.append(entry)
        self._start_pending()
        if self.task is None:
            self.task = self.loop.create_task(self._write_responses())

    def _start_pending(self) -> None:
        """Starts the requests that may run now."""
        if self._drained is not None:
            # The client does not read; more responses would only wait.
            return
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
                    self._run(entry, entry.request)
                )

    async def _run(
        self, entry: PendingRequest, request: HttpRequest
    ) -> HttpResponse:
        self.listener.active_requests += 1
        try:
            response = await self.listener.handler(request, entry.arrived_at)
        finally:
            self.listener.active_requests -= 1
        if self.transport is not None:
            size = get_response_cost(response.headers, len(response.body))
            entry.charged += size
            self.listener.charge(self, size)
        return response

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
                    self._shut_down()
                    raise
                keep_alive = self._write(entry, response, entry.keep_alive)
                if self._drained is not None:
                    await self._drained
                if not keep_alive:
                    self._shut_down()
                    return
                self._release(self.pending.popleft())
                self._go_on_reading()
        finally:
            self.task = None
        if self._at_end:
            self._shut_down()
        elif self.transport is not None and not self.reader.in_message:
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
        data = encode_response(response, keep_alive, head_only)
        transport.write(data[self._sent_early :] if self._sent_early else data)
        self._sent_early = 0
        return keep_alive

    def _owes_later_response(self) -> bool:
        """Returns whether a request behind the first one has been started."""
        return len(self.pending) > 1 and (
            self.pending[1].task is not None
            or self.pending[1].rejection is not None
        )

    def _release(self, entry: PendingRequest) -> None:
        self.listener.body_budget.release(entry.held_bytes)
        self.listener.release(self, entry.charged)
        entry.held_bytes = entry.charged = 0

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

    def is_idle(self) -> bool:
        """Returns whether it has no request, complete or not."""
        return self.task is None and not self.reader.in_message

    def close_if_idle(self) -> None:
        """Closes the connection if it has no request."""
        if self.is_idle():
            self._shut_down()

    # Closing for the sake of other connections.

    def is_droppable(self) -> bool:
        """Returns whether nothing is lost but what its client holds up.

        That is an unfinished request or an answer that the client does not
        read, but no request that runs.
        """
        if self._drained is not None:
            return True
        return self.reader.in_message and not self.pending

    def drop(self) -> None:
        """Closes the connection at once and frees what it holds."""
        if self.transport is not None:
            self.transport.abort()
        self.connection_lost(None)

    # Timers.

    def _start_timer(self, delay_s: float, action: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self.loop.call_later(delay_s, action)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _stop_write_timer(self) -> None:
        if self._write_timer is not None:
            self._write_timer.cancel()
            self._write_timer = None

    def _handle_idle_timeout(self) -> None:
        self.close_if_idle()

    def _handle_header_timeout(self) -> None:
        if self._backlog:
            # The rest has arrived, and waits for earlier requests.
            self.handle_head_begin()
        else:
            self.reader.reject(REQUEST_TIMEOUT, "slow_header")

    def _handle_body_timeout(self) -> None:
        """Rejects a request whose body has stopped arriving."""
        idle_timeout_s = self.listener.limits.idle_timeout_s
        left_s = self.last_received_at + idle_timeout_s - self.loop.time()
        if self._backlog:
            left_s = idle_timeout_s
        if left_s > 0:
            self._start_timer(left_s, self._handle_body_timeout)
        else:
            self.reader.reject(REQUEST_TIMEOUT, "slow_body")

    def _handle_write_timeout(self) -> None:
        """Closes a connection whose client reads nothing."""
        transport = self.transport
        if transport is None:
            return
        if transport.get_write_buffer_size() < self._unwritten_bytes:
            self._watch_writing()
            return
        self.listener.on_limit("unread", transport)
        self.drop()

    def _start_probe(self) -> None:
        self._probe_timer = self.loop.call_later(self._probe_s, self._probe)
        self._probe_s *= END_PROBE_GROWTH

    def _probe(self) -> None:
        """Sends a byte that a caller which is gone answers with a reset."""
        transport = self.transport
        if transport is None or transport.is_closing() or not self.pending:
            return
        sent = self._sent_early
        if self._drained is None and sent < len(RESPONSE_START):
            self._sent_early = sent + 1
            transport.write(RESPONSE_START[sent : sent + 1])
        self._probe_timer = self.loop.call_later(
            PROBE_ANSWER_S, self._check_probe
        )

    def _check_probe(self) -> None:
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        sock = transport.get_extra_info("socket")
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            transport.abort()
        else:
            self._start_probe()
