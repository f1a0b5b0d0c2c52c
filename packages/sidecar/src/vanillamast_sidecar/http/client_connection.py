"""One HTTP/1.1 connection to a backend server or to the store."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

import httptools

from vanillamast_sidecar.errors import (
    ConnectError,
    ConnectionLostError,
    MalformedResponseError,
    ResponseTimeoutError,
    ResponseTooLargeError,
)
from vanillamast_sidecar.http.arrival import Arrival
from vanillamast_sidecar.http.byte_budget import ByteBudget
from vanillamast_sidecar.http.http_message import Body, HttpResponse
from vanillamast_sidecar.http.response_limits import ResponseLimits
from vanillamast_sidecar.http.transport_writer import TransportWriter

# Unacknowledged data or unanswered probes end a connection after this time,
# which is below the 1 s after which callers give up.
TCP_USER_TIMEOUT_MS = 900
KEEPALIVE_IDLE_S = 1  # Smallest value that the kernel accepts.
KEEPALIVE_INTERVAL_S = 1  # Smallest value that the kernel accepts.
KEEPALIVE_PROBES = 2  # A single lost probe is no failure.
MIN_STATUS = 100
MAX_STATUS = 599
SWITCHING_PROTOCOLS = 101
# The parser makes objects of all header lines that it gets at once.
PARSED_BYTES = 4096
NO_LINGER = struct.pack("ii", 1, 0)  # Makes close() send a reset.


def configure_socket(transport: asyncio.BaseTransport) -> None:
    """Disables Nagle's algorithm and lets TCP detect an unresponsive peer."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def close_with_reset(transport: asyncio.Transport | None) -> None:
    """Closes a connection with a reset; unsent bytes are dropped."""
    if transport is None or transport.is_closing():
        return
    sock = transport.get_extra_info("socket")
    # The socket may be closed already if the peer closed first.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


class ClientConnection(asyncio.Protocol):
    """Sends one request at a time and reads its response.

    Bytes that no request waits for close the connection. So does a response
    beyond the limits, at once: a faulty server may send bytes without end.

    Attributes:
      id_field: Header field in which responses echo the request's id, in
        lower case; empty if they do not.
      limits: Limits on responses.
      budget: Body bytes that all connections of the process may keep.
      transport: The connection; None while it is not open.
      writer: Writes long bodies to the transport.
      idle_since: When the last response ended, in loop time.
      idle_limit_s: Idle timeout that the peer announced, in seconds; 0 if it
        announced none.
      reusable: Whether another request may be sent.
      requests_sent: Requests sent so far.
      on_received: Called when bytes of a response arrive.
    """

    def __init__(
        self,
        id_field: bytes = b"",
        limits: ResponseLimits | None = None,
        budget: ByteBudget | None = None,
    ):
        self.id_field = id_field
        self.limits = limits or ResponseLimits()
        self.budget = budget or ByteBudget(self.limits.total_bytes)
        self.transport: asyncio.Transport | None = None
        self.idle_since = 0.0
        self.idle_limit_s = 0.0
        self.reusable = True
        self.requests_sent = 0
        self.on_received: Callable[[], None] = lambda: None
        self.loop = asyncio.get_running_loop()
        self.writer = TransportWriter()
        self.parser = httptools.HttpResponseParser(self)
        self._waiter: asyncio.Future[HttpResponse] | None = None
        self._expected_id = b""
        self._head_only = False
        self._headers: list[tuple[bytes, bytes]] = []
        # Each piece kept as an object would cost far more than a tiny chunk.
        self._body = bytearray()
        self._reason_phrase = b""
        self._ends_at_close = False
        self._in_response = False
        self._in_body = False
        self._body_bytes = 0
        self._head_bytes = 0
        self._framing_bytes = 0
        self._interim_responses = 0
        self._timer: asyncio.TimerHandle | None = None
        self._arrival: Arrival | None = None
        self._began_at = 0.0
        self._received_bytes = 0

    async def open(self, host: str, port: int, timeout_s: float) -> None:
        """Connects.

        Raises:
          ConnectError: The peer refused the connection or did not answer in
            time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.loop.create_connection(lambda: self, host, port)
        except (OSError, TimeoutError) as error:
            self.close()
            raise ConnectError(f"{host}:{port}: {error!r}") from error

    async def send_request(
        self,
        data: bytes,
        timeout_s: float,
        expected_id: bytes = b"",
        head_only: bool = False,
        body: Body = b"",
        arrival: Arrival | None = None,
    ) -> HttpResponse:
        """Sends a request and returns the whole response.

        Args:
          data: The encoded request, or its head if `body` follows.
          timeout_s: Longest wait for the end of the response, in seconds; for
            its beginning if `arrival` is given.
          expected_id: Id that the response must echo; others are discarded.
          head_only: Whether the response has no body (HEAD).
          body: Long body that follows `data`.
          arrival: How long the response may take from its first byte.

        Raises:
          ConnectionLostError: The connection ended first.
          MalformedResponseError: The received bytes are no HTTP response.
          ResponseTimeoutError: The response did not end in time.
        """
        transport = self.transport
        if transport is None or transport.is_closing():
            raise ConnectionLostError(
                "connection closed before the request was sent"
            )
        waiter: asyncio.Future[HttpResponse] = self.loop.create_future()
        self._waiter = waiter
        self._expected_id = expected_id
        self._head_only = head_only
        self._framing_bytes = 0
        self._interim_responses = 0
        self.requests_sent += 1
        self._arrival = arrival
        self._received_bytes = 0
        self._timer = self.loop.call_later(timeout_s, self._expire)
        self.writer.write(data)
        if body:
            self.writer.write(body)
        try:
            return await waiter
        except BaseException:
            self.close()
            raise
        finally:
            self._timer.cancel()
            self._waiter = None
            self._drop_body()
            self.idle_since = self.loop.time()

    def _expire(self) -> None:
        arrival = self._arrival
        if arrival is not None and self._received_bytes:
            deadline = arrival.get_deadline(
                self._began_at, self._received_bytes
            )
            if self.loop.time() < deadline:
                self._timer = self.loop.call_at(deadline, self._expire)
                return
        self._fail(ResponseTimeoutError("no complete response in time"))

    def _count_received(self, size: int) -> None:
        """Counts bytes; the first ones start the time for the response."""
        if self._arrival is not None and not self._received_bytes:
            self._began_at = self.loop.time()
            if self._timer is not None:
                self._timer.cancel()
            self._timer = self.loop.call_later(
                self._arrival.base_s, self._expire
            )
        self._received_bytes += size

    def close(self) -> None:
        """Closes the connection with a reset."""
        self.reusable = False
        close_with_reset(self.transport)

    def is_usable(self, now: float, longest_idle_s: float) -> bool:
        """Returns whether a request may be sent on the idle connection."""
        if not self.reusable or self.transport is None:
            return False
        if self.transport.is_closing():
            return False
        return now - self.idle_since < longest_idle_s

    def _fail(self, error: Exception) -> None:
        self.reusable = False
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores and configures the transport."""
        self.transport = transport  # type: ignore[assignment]
        self.writer.transport = self.transport
        configure_socket(transport)

    def pause_writing(self) -> None:
        """Stops writing while the transport's buffer is full."""
        self.writer.pause()

    def resume_writing(self) -> None:
        """Goes on writing."""
        self.writer.resume()

    def data_received(self, data: bytes) -> None:
        """Passes the bytes to the parser within the limits."""
        waiter = self._waiter
        if waiter is None or waiter.done():
            # They belong to no request.
            self.close()
            return
        self._count_received(len(data))
        self.on_received()
        view = memoryview(data)
        for start in range(0, len(data), PARSED_BYTES):
            self._parse(view[start : start + PARSED_BYTES])
            if waiter.done() or self.transport is None:
                # A response has ended; more bytes belong to no request.
                if start + PARSED_BYTES < len(data):
                    self.close()
                return

    def _parse(self, data: memoryview) -> None:
        """Passes a few bytes to the parser and checks the limits."""
        body_bytes = self._body_bytes
        in_body = self._in_body
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(MalformedResponseError(repr(error)))
            self.close()
            return
        if not in_body:
            self._head_bytes = (
                0 if self._in_body else self._head_bytes + len(data)
            )
        # Chunk sizes, extensions and trailers are not part of the body.
        self._framing_bytes += max(
            0, len(data) - max(0, self._body_bytes - body_bytes)
        )
        limits = self.limits
        if self._head_bytes > limits.head_bytes:
            self._reject("status line and header section")
        elif self._framing_bytes > limits.head_bytes + limits.body_bytes:
            self._reject("bytes around the body")

    def _reject(self, part: str) -> None:
        """Ends a response that exceeds a limit."""
        self._fail(ResponseTooLargeError(f"{part} exceeds the limit"))
        self._drop_body()
        self.close()

    def _drop_body(self) -> None:
        """Frees the bytes of the response being received."""
        self.budget.release(self._body_bytes)
        self._body_bytes = 0
        self._body = bytearray()

    def eof_received(self) -> bool:
        """Ends a response that is delimited by the end of the connection."""
        self.reusable = False
        if self._ends_at_close and self._in_response:
            self._finish()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Fails the waiting request."""
        self.transport = None
        self.writer.close()
        self._fail(ConnectionLostError(repr(error)))

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a response; an unexpected one closes the connection."""
        self._headers = []
        self._drop_body()
        self._reason_phrase = b""
        self._ends_at_close = False
        self._in_response = True
        self._in_body = False
        waiter = self._waiter
        if waiter is None or waiter.done():
            self.reusable = False
            self.loop.call_soon(self.close)

    def on_status(self, phrase: bytes) -> None:
        """Stores a piece of the reason phrase."""
        self._reason_phrase += phrase

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field."""
        self._headers.append((name, value))
        if len(self._headers) > self.limits.fields:
            self._reject("number of fields")

    def on_headers_complete(self) -> None:
        """Determines how the body is delimited."""
        self._in_body = True
        status = self.parser.get_status_code()
        if not _is_valid(status):
            self._fail(MalformedResponseError(f"status {status:03d}"))
            self._drop_body()
            self.close()
            return
        framed = any(
            name.lower() in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        self._ends_at_close = not framed and status >= 200
        if status in (204, 304):
            self._ends_at_close = False
        if self._head_only and status >= 200:
            self.reusable = False
            self._finish()

    def on_body(self, data: bytes) -> None:
        """Stores a piece of the body."""
        waiter = self._waiter
        if waiter is None or waiter.done():
            return
        if self._body_bytes + len(data) > self.limits.body_bytes:
            self._reject("body")
        elif not self.budget.try_acquire(len(data)):
            self._reject("sum of all bodies")
        else:
            self._body_bytes += len(data)
            self._body += data

    def on_message_complete(self) -> None:
        """Delivers the response."""
        self._finish()

    def _finish(self) -> None:
        if not self._in_response:
            return
        status = self.parser.get_status_code()
        if status < 200:
            self._interim_responses += 1
            if self._interim_responses > self.limits.interim_responses:
                self._reject("number of interim responses")
            return
        self._in_response = False
        keep_alive = self.parser.should_keep_alive() and not self._ends_at_close
        response = HttpResponse(
            status,
            self._headers,
            bytes(self._body),
            self._reason_phrase,
            keep_alive,
        )
        if not keep_alive:
            self.reusable = False
        if not self._is_expected(response):
            # A late or duplicate response to another request: the responses
            # on this connection can't be matched to requests any more.
            self.reusable = False
            return
        self._read_idle_limit(response)
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(response)

    def _is_expected(self, response: HttpResponse) -> bool:
        if not self.id_field or not self._expected_id:
            return True
        return response.get_header(self.id_field) == self._expected_id

    def _read_idle_limit(self, response: HttpResponse) -> None:
        value = response.get_header(b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.idle_limit_s = float(seconds)


def _is_valid(status: int) -> bool:
    """Returns whether a response may have a status.

    No request asks for another protocol, so none may be answered with 101.
    """
    return MIN_STATUS <= status <= MAX_STATUS and status != SWITCHING_PROTOCOLS
