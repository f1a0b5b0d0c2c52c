"""Reads the requests of one connection within the limits on callers."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import httptools

from vanillamast_sidecar.http.http_message import Body, Headers, HttpRequest
from vanillamast_sidecar.http.memory_costs import get_request_cost
from vanillamast_sidecar.http.request_target import to_origin_form
from vanillamast_sidecar.http.transport_writer import LARGE_BYTES

if TYPE_CHECKING:
    from vanillamast_sidecar.http.http_connection import HttpConnection

# Bytes that the parser gets at a time, except plain body bytes: limits and
# costs are checked in between. 4,096 bytes hold up to 1,000 header lines.
PIECE_BYTES = 4_096
# Bytes around the body, such as chunk sizes, for each byte of the body. A
# chunk of one byte usually has five.
FRAMING_PER_BODY_BYTE = 16
# Retry-After of a request that finds no room, in seconds: about the time in
# which a long body is passed on.
RETRY_AFTER = b"1"

BAD_REQUEST = 400
TOO_LARGE = 413
FIELDS_TOO_LARGE = 431
UNAVAILABLE = 503


class RequestReader:
    """Parses requests and counts what the unfinished one costs.

    Attributes:
      connection: The connection whose bytes are read.
      limits: Limits on callers.
      parser: Parser of the request being read.
      in_message: Whether a request has begun and is not complete.
      in_head: Whether its header section is being read.
      rejected: Whether a request was rejected; later bytes are ignored.
      charged: What the request costs so far, of the memory account.
      held_bytes: Bytes of the body budget that its body takes.
    """

    def __init__(self, connection: "HttpConnection"):
        self.connection = connection
        self.limits = connection.listener.limits
        self.parser = httptools.HttpRequestParser(self)
        self.in_message = False
        self.in_head = False
        self.rejected = False
        self.charged = 0
        self.held_bytes = 0
        self._target = b""
        self._method = ""
        self._headers: Headers = []
        self._header_bytes = 0
        self._unparsed_bytes = 0
        self._framing_bytes = 0
        self._preamble_bytes = 0
        self._body = bytearray()
        self._body_is_reserved = False
        self._body_bytes = 0
        self._body_left = 0
        self._progress = 0
        # The request has an Upgrade field, which is ignored.
        self._upgrading = False
        # A second parser gets the framing fields of such a request.
        self._resuming = False
        self._content_length = 0
        self._keep_alive = True

    def feed(self, data: memoryview, may_go_on: Callable[[], bool]) -> int:
        """Parses bytes until they end or the connection must wait.

        Args:
          data: Received bytes.
          may_go_on: Returns whether more bytes may be parsed.

        Returns:
          How many bytes need not be passed again.
        """
        self.limits = self.connection.listener.limits
        position = 0
        while position < len(data):
            if self.rejected:
                return len(data)
            if not may_go_on():
                break
            position += self._feed_piece(data[position:])
        return position

    def _feed_piece(self, data: memoryview) -> int:
        """Parses some bytes; returns how many."""
        piece = data[: self._body_left or PIECE_BYTES]
        size = len(piece)
        progress = self._progress
        body_bytes = self._body_bytes
        try:
            self.parser.feed_data(piece)
        except httptools.HttpParserUpgrade as upgrade:
            size = upgrade.args[0]
            self._ignore_upgrade()
        except httptools.HttpParserError:
            self.reject(BAD_REQUEST, "malformed")
        if not self.rejected:
            self._check_piece(size, self._progress != progress, body_bytes)
        return size

    def _check_piece(self, size: int, progress: bool, body_bytes: int) -> None:
        """Checks what the parser got and does not report as a field or body.

        Args:
          size: Bytes of the piece.
          progress: Whether a request or chunk began or body bytes arrived.
          body_bytes: Bytes of the body before the piece.
        """
        limit = self.limits.header_bytes
        # The parser keeps an incomplete header field of any length.
        self._unparsed_bytes = 0 if progress else self._unparsed_bytes + size
        if not self.in_message:
            self._preamble_bytes = (
                0 if progress else self._preamble_bytes + size
            )
            if self._preamble_bytes > limit:
                self.reject(BAD_REQUEST, "preamble")
            return
        if self._unparsed_bytes > limit + PIECE_BYTES and not self._body_left:
            self.reject(FIELDS_TOO_LARGE, "header")
            return
        if not self.in_head:
            self._framing_bytes += max(
                0, size - max(0, self._body_bytes - body_bytes)
            )
            allowed = limit + self._body_bytes * FRAMING_PER_BODY_BYTE
            if self._framing_bytes > allowed + PIECE_BYTES:
                if progress:
                    self.reject(BAD_REQUEST, "framing")
                else:
                    # A trailer field or a chunk extension without end.
                    self.reject(FIELDS_TOO_LARGE, "header")
                return
        self._settle(self._unparsed_bytes)

    def _settle(self, unparsed_bytes: int = 0) -> None:
        """Charges what the request costs now; rejects it without room."""
        if len(self._headers) > self.limits.fields:
            self.reject(FIELDS_TOO_LARGE, "fields")
            return
        cost = get_request_cost(
            len(self._headers),
            max(self._header_bytes, unparsed_bytes),
            len(self._body),
        )
        size = cost - self.charged
        if size <= 0:
            return
        if self.connection.listener.try_charge(self.connection, size):
            self.charged += size
        else:
            self.reject_for_room()

    def reject_for_room(self) -> None:
        """Rejects a request for which there is no memory."""
        self.reject(UNAVAILABLE, "memory", [(b"Retry-After", RETRY_AFTER)])

    def reject(
        self, status: int, kind: str, headers: Headers | None = None
    ) -> None:
        """Rejects the request and ignores what follows it.

        Args:
          status: Status of the response.
          kind: What was wrong, for the log.
          headers: Header fields of the response.
        """
        if self.rejected:
            return
        self.rejected = True
        self.drop()
        self.connection.handle_rejection(status, kind, headers or [])

    def drop(self) -> None:
        """Frees what was read of an unfinished request."""
        listener = self.connection.listener
        listener.body_budget.release(self.held_bytes)
        listener.release(self.connection, self.charged)
        self.held_bytes = self.charged = 0
        self._headers = []
        self._target = b""
        self._body = bytearray()
        self._body_is_reserved = False
        self._body_left = 0

    def is_in_body(self) -> bool:
        """Returns whether a body or its trailer section is arriving."""
        return self.in_message and not self.in_head and not self.rejected

    def is_reading_long_body(self) -> bool:
        """Returns whether a body that has reserved its bytes is arriving."""
        return self._body_is_reserved

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._progress += 1
        if self._upgrading:
            return
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._framing_bytes = 0
        self._body = bytearray()
        self._body_is_reserved = False
        self._body_bytes = 0
        self.in_message = True
        self.in_head = True
        if not self.rejected:
            self.connection.handle_head_begin()

    def on_url(self, url: bytes) -> None:
        """Stores a piece of the target."""
        if self.rejected or self._upgrading:
            return
        self._target += url
        self._header_bytes += len(url)
        if self._header_bytes > self.limits.header_bytes:
            self.reject(FIELDS_TOO_LARGE, "header")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header or trailer field."""
        if self.rejected or self._upgrading:
            return
        self._headers.append((name.lower(), value))
        # A line has at least a colon and its end.
        self._header_bytes += len(name) + len(value) + 3
        if self._header_bytes > self.limits.header_bytes:
            self.reject(FIELDS_TOO_LARGE, "header")

    def on_headers_complete(self) -> None:
        """Prepares for the body."""
        self._progress += 1
        if self._resuming:
            self._resuming = self._upgrading = False
            self._body_left = self._content_length
        if self.rejected or not self.in_head:
            return
        self.in_head = False
        self._content_length = 0
        self._method = self.parser.get_method().decode("latin-1")
        self._upgrading = self.parser.should_upgrade()
        expected = False
        for name, value in self._headers:
            expected |= name == b"expect" and value.lower() == b"100-continue"
            if name == b"content-length":
                self._reserve_body(int(value))
        if not self.rejected:
            self.connection.handle_head_end(expected)

    def _reserve_body(self, size: int) -> None:
        """Reserves a long body at once: a growing buffer is copied often.

        The pages count as memory only once bytes have arrived in them.
        """
        self._content_length = size
        if not self._upgrading:
            self._body_left = size
        if not LARGE_BYTES < size <= self.limits.body_bytes:
            return
        if self._hold(size):
            self._body = bytearray(size)
            self._body_is_reserved = True
            self._settle()

    def on_body(self, data: bytes) -> None:
        """Stores a piece of the body."""
        self._progress += 1
        if self.rejected:
            return
        start = self._body_bytes
        self._body_bytes += len(data)
        self._body_left = max(0, self._body_left - len(data))
        if self._body_bytes > self.limits.body_bytes:
            self.reject(TOO_LARGE, "body")
        elif self._body_is_reserved:
            self._body[start : self._body_bytes] = data
        elif self._body_bytes <= LARGE_BYTES or self._hold(len(data)):
            self._body += data

    def on_chunk_header(self) -> None:
        """Notes that a chunk has begun."""
        self._progress += 1

    def _hold(self, size: int) -> bool:
        """Takes bytes of the budget; rejects the request without enough."""
        if self.connection.listener.body_budget.try_acquire(size):
            self.held_bytes += size
            return True
        self.reject_for_room()
        return False

    def on_message_complete(self) -> None:
        """Passes on the complete request."""
        self._progress += 1
        self._body_left = 0
        if self._upgrading:
            # Its body follows, if any.
            return
        self.in_message = False
        keep_alive = self.parser.should_keep_alive() and self._keep_alive
        self._keep_alive = True
        if self.rejected:
            return
        self._settle()
        if self.rejected:
            return
        origin = to_origin_form(
            self._method, self._target.decode("latin-1"), self._headers
        )
        if origin is None:
            self.reject(BAD_REQUEST, "malformed")
            return
        target, headers = origin
        request = HttpRequest(self._method, target, headers, self._take_body())
        held_bytes, charged = self.held_bytes, self.charged
        self.held_bytes = self.charged = 0
        self._headers = []
        self.connection.handle_request(request, keep_alive, held_bytes, charged)

    def _take_body(self) -> Body:
        """Returns the body; a long one is not copied."""
        body = self._body
        self._body = bytearray()
        self._body_is_reserved = False
        return body if len(body) > LARGE_BYTES else bytes(body)

    def _ignore_upgrade(self) -> None:
        """Reads a request with an Upgrade field as one without it.

        The parser stops at the end of such a head and would take the body for
        the next request. Another parser reads the body behind a head that has
        only the fields about its framing.
        """
        if self.rejected:
            return
        if self._method == "CONNECT":
            self.reject(BAD_REQUEST, "malformed")
            return
        self._keep_alive = self.parser.should_keep_alive()
        self.parser = httptools.HttpRequestParser(self)
        framing = b"".join(
            name + b": " + value + b"\r\n"
            for name, value in self._headers
            if name in (b"content-length", b"transfer-encoding")
        )
        try:
            # A request without a body is complete then.
            self._resuming = True
            self.parser.feed_data(b"POST / HTTP/1.1\r\n" + framing + b"\r\n")
        except httptools.HttpParserError:
            self.reject(BAD_REQUEST, "malformed")
