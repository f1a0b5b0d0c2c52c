"""uvicorn's HTTP protocol with limits on what a client may cost."""

import asyncio
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from vanillamast_node.listener_budget import ListenerBudget

# Bytes that the parser gets at a time outside bodies: limits are checked in
# between, as a head of a few kilobytes becomes thousands of objects.
HEAD_PIECE_BYTES = 4_096
BODY_PIECE_BYTES = 65_536
# Requests that wait behind the one whose response is being sent.
MAX_PIPELINED = 16
# Costs of a connection, a request and a field, and how often the bytes of a
# field are held.
CONNECTION_BYTES = 8_192
REQUEST_BYTES = 16_384
FIELD_BYTES = 320
FIELD_COPIES = 4
REASONS = {
    400: b"Bad Request",
    431: b"Request Header Fields Too Large",
    503: b"Service Unavailable",
}


class BoundedProtocol(HttpToolsProtocol):
    """Rejects clients beyond the limits on heads, trailers and memory.

    Attributes:
      budget: What the connections of the listener hold together.
      header_limit_bytes: Largest header section, and trailer section.
      header_timeout_s: Longest time to receive a header section.
      charged_bytes: What the connection holds of the budget.
      ignore_input: Whether further input is discarded.
      in_header: Whether a header section is next or being read.
      header_timer: Ends a connection whose header section takes too long.
    """

    budget = ListenerBudget(4 << 20, 1 / 64)
    header_limit_bytes = 16_384
    header_timeout_s = 10.0

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.charged_bytes = 0
        self.ignore_input = False
        self.in_header = True
        self.header_timer: asyncio.TimerHandle | None = None
        self._backlog = b""
        self._field_bytes = 0
        self._silent_bytes = 0
        self._progress = 0

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Counts the connection and limits the time for its first head."""
        super().connection_made(transport)
        self.start_header_timer()
        if not self.budget.try_charge(self, CONNECTION_BYTES):
            self.reject(503)
        self.budget.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Frees what the connection holds."""
        self.stop_header_timer()
        self.budget.remove(self)
        self.pipeline.clear()
        self._backlog = b""
        super().connection_lost(exc)

    # Input.

    def data_received(self, data: bytes) -> None:
        """Parses bytes within the limits."""
        if self._backlog:
            self._backlog += data
        else:
            self._parse(data)

    def _parse(self, data: bytes) -> None:
        position = 0
        while position < len(data) and not self.ignore_input:
            if len(self.pipeline) >= MAX_PIPELINED:
                self._backlog = data[position:]
                self.flow.pause_reading()
                return
            size = HEAD_PIECE_BYTES if self.in_header else BODY_PIECE_BYTES
            piece = data[position : position + size]
            position += len(piece)
            progress = self._progress
            super().data_received(piece)
            if self._progress != progress:
                self._silent_bytes = 0
                continue
            # The parser keeps an unfinished field, and skips empty lines.
            self._silent_bytes += len(piece)
            if self._silent_bytes > self.header_limit_bytes + HEAD_PIECE_BYTES:
                self.reject(431 if self._field_bytes else 400)

    def _go_on(self) -> None:
        """Parses what waited for earlier requests."""
        if self._backlog and not self.ignore_input:
            data, self._backlog = self._backlog, b""
            self._parse(data)

    def on_message_begin(self) -> None:
        """Begins a header section."""
        super().on_message_begin()
        self._progress += 1
        self._field_bytes = 0
        self.in_header = True
        if self.header_timer is None:
            self.start_header_timer()

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target."""
        if not self.ignore_input and self._take(len(url), len(url)):
            super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header or trailer field."""
        size = len(name) + len(value)
        if not self.ignore_input and self._take(
            size + 4, FIELD_BYTES + size * FIELD_COPIES
        ):
            super().on_header(name, value)

    def _take(self, size: int, cost: int) -> bool:
        """Counts bytes of a section; rejects the client beyond the limits."""
        self._progress += 1
        self._field_bytes += size
        if self._field_bytes > self.header_limit_bytes:
            self.reject(431)
        elif not self.budget.try_charge(self, cost):
            self.reject(503)
        return not self.ignore_input

    def on_headers_complete(self) -> None:
        """Starts the request if there is memory for it."""
        self._progress += 1
        self.in_header = False
        self.stop_header_timer()
        if self.ignore_input:
            return
        if not self.budget.try_charge(self, REQUEST_BYTES):
            self.reject(503)
            return
        # The trailer section has a limit of its own.
        self._field_bytes = 0
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Passes a part of the body on."""
        self._progress += 1
        if not self.ignore_input:
            super().on_body(body)

    def on_message_complete(self) -> None:
        """Ends a request."""
        self._progress += 1
        self.in_header = True
        if not self.ignore_input:
            super().on_message_complete()

    # Responses.

    def on_response_complete(self) -> None:
        """Frees what the answered requests held, and goes on reading."""
        if not self.pipeline:
            held = self.charged_bytes - CONNECTION_BYTES
            self.budget.release(self, max(0, held))
        super().on_response_complete()
        if self._backlog:
            self.loop.call_soon(self._go_on)

    def reject(self, status: int) -> None:
        """Answers input beyond a limit and ignores the rest.

        A request that has not been read whole has not run.
        """
        self.ignore_input = True
        self._backlog = b""
        if self.is_droppable():
            self.transport.write(
                b"HTTP/1.1 %d %b\r\ncontent-length: 0\r\nretry-after: 1\r\n"
                b"connection: close\r\n\r\n" % (status, REASONS[status])
            )
        self.transport.close()

    # Limits.

    def is_droppable(self) -> bool:
        """Returns whether no request of the connection runs."""
        return self.cycle is None or self.cycle.response_complete

    def drop(self) -> None:
        """Closes the connection at once and frees what it holds."""
        self.ignore_input = True
        if self.headers:
            # The request's scope refers to the same list.
            self.headers.clear()
        self.budget.remove(self)
        self.transport.abort()

    def start_header_timer(self) -> None:
        """Limits the time for a header section."""
        self.header_timer = self.loop.call_later(
            self.header_timeout_s, self.timeout_keep_alive_handler
        )

    def stop_header_timer(self) -> None:
        """Ends the limit on the time for a header section."""
        if self.header_timer is not None:
            self.header_timer.cancel()
            self.header_timer = None
