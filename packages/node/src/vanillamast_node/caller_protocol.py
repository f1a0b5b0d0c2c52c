"""The HTTP protocol of one caller connection."""

import asyncio
from collections.abc import Callable
from typing import Any

from uvicorn.protocols.http.httptools_impl import RequestResponseCycle
from vanillamast_core.requests import Refusal, make_refusal

from vanillamast_node.bounded_protocol import REASONS, BoundedProtocol
from vanillamast_node.coalescing_transport import CoalescingTransport
from vanillamast_node.header_fields import REFUSAL_FIELD

_REFUSALS = {400: "bad_request", 431: "header_too_large", 503: "overloaded"}
CONNECTION_KEY = "vanillamast.connection"


class CallerProtocol(BoundedProtocol):
    """A protocol with callbacks for running requests.

    Attributes:
      on_lost: Called when the connection is lost during a request.
      on_malformed: Called when the rest of a running request's body is
        malformed.
      running_cycle: The request whose response is in progress.
      coalescing_transport: The connection's transport.
    """

    def __init__(self, *args: Any, **kwargs: Any):
        super().__init__(*args, **kwargs)
        self.on_lost: Callable[[], None] | None = None
        self.on_malformed: Callable[[], None] | None = None
        self.running_cycle: RequestResponseCycle | None = None
        self.header_received_bytes = 0
        self.coalescing_transport: CoalescingTransport

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Starts the time limit for the first header section."""
        self.coalescing_transport = CoalescingTransport(transport, self.loop)
        super().connection_made(self.coalescing_transport)  # type: ignore[arg-type]

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the running request and discards pipelined ones."""
        super().connection_lost(exc)
        if self.on_lost is not None:
            self.on_lost()

    def data_received(self, data: bytes) -> None:
        """Parses bytes and enforces the limits on the header section."""
        if self.ignore_input:
            return
        if self.in_header:
            self.header_received_bytes += len(data)
        super().data_received(data)
        if not self.in_header or self.ignore_input:
            return
        if self.header_received_bytes > self.header_limit_bytes:
            self._refuse_connection(make_refusal("header_too_large"))
        elif self.header_received_bytes and self.header_timer is None:
            self.start_header_timer()

    def on_message_begin(self) -> None:
        """Begins a header section."""
        super().on_message_begin()
        self.scope[CONNECTION_KEY] = self  # type: ignore[literal-required]

    def on_headers_complete(self) -> None:
        """Starts the request unless its header section is too large."""
        if self.ignore_input:
            return
        self.in_header = False
        self.header_received_bytes = 0
        self.stop_header_timer()
        size = len(self.url)
        for name, value in self.headers:
            size += len(name) + len(value) + 4
        if size > self.header_limit_bytes:
            self._refuse_connection(make_refusal("header_too_large"))
        elif self.parser.should_upgrade() and self._has_body():
            # The parser treats the bytes after an upgrade request as another
            # protocol, so its body would be lost.
            self._refuse_connection(
                make_refusal("bad_request", "upgrade with body")
            )
        else:
            super().on_headers_complete()

    def on_response_complete(self) -> None:
        """Flushes the buffered writes of a complete response."""
        self.coalescing_transport.flush()
        super().on_response_complete()

    def send_400_response(self, msg: str) -> None:
        """Refuses malformed input without corrupting a running response."""
        self._refuse_connection(make_refusal("bad_request", msg))

    def abort(self) -> None:
        """Resets the connection, so that the caller sees a failure."""
        self.ignore_input = True
        if self.transport is not None:
            self.transport.abort()

    def reject(self, status: int) -> None:
        """Refuses input beyond a limit, as the node's other refusals are."""
        self._refuse_connection(make_refusal(_REFUSALS[status]))

    def _has_body(self) -> bool:
        names = {name for name, _ in self.headers}
        return b"content-length" in names or b"transfer-encoding" in names

    def _start_asgi_task(self, cycle: RequestResponseCycle, app: Any) -> None:
        self.running_cycle = cycle
        super()._start_asgi_task(cycle, app)

    def _refuse_connection(self, refusal: Refusal) -> None:
        """Refuses the input, unless a response is being sent."""
        self.ignore_input = True
        self.stop_header_timer()
        cycle = self.running_cycle
        if cycle is None or cycle.response_complete:
            self._write_refusal(refusal)
            return
        # A response is being sent on this connection, and the refusal must not
        # be written into it.
        self.pipeline.clear()
        cycle.keep_alive = False
        if cycle.more_body and self.on_malformed is not None:
            self.on_malformed()

    def _write_refusal(self, refusal: Refusal) -> None:
        body = refusal.body()
        reason = REASONS[refusal.status]
        head = (
            b"HTTP/1.1 %d %b\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\nconnection: close\r\n%b: %b\r\n\r\n"
        ) % (
            refusal.status,
            reason,
            len(body),
            REFUSAL_FIELD,
            refusal.kind.encode(),
        )
        self.transport.write(head + body)
        self.transport.close()
