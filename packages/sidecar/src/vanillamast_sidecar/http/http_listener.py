"""Accepts HTTP/1.1 connections."""

import asyncio
import sys
from collections.abc import Awaitable, Callable

from vanillamast_sidecar.http.byte_budget import ByteBudget
from vanillamast_sidecar.http.caller_limits import CallerLimits
from vanillamast_sidecar.http.http_connection import HttpConnection
from vanillamast_sidecar.http.http_message import HttpRequest, HttpResponse
from vanillamast_sidecar.http.listening import listen
from vanillamast_sidecar.http.memory_account import SMALL_BYTES, MemoryAccount

Handler = Callable[[HttpRequest, float], Awaitable[HttpResponse]]

# Most bytes of one read, so that one client holds the event loop for
# milliseconds at most.
READ_BYTES = 65_536
# A long body that arrives this slowly is given up for other requests, in
# seconds without a byte.
BODY_STALL_S = 1.0


class HttpListener:
    """State that the connections of one listening address share.

    Attributes:
      handler: Returns the response to a request that arrived at a given time.
      limits: Limits on what callers may send; replaced with each version of
        the configuration.
      body_budget: Bytes of long request bodies that are held at once; a
        request beyond it is refused.
      account: What all that the connections hold costs the process.
      max_connections: Most open connections.
      on_limit: Called with the kind of a limit that a client met, and its
        transport.
      closing: Whether connections are closed after their next response.
      connections: Open connections, oldest first.
      unserved: Those that have not sent a complete request yet.
      active_requests: Number of requests that the handler runs.
      accepted: Number of connections accepted so far.
      read_buffer: Takes the bytes of one read.
    """

    def __init__(
        self,
        handler: Handler,
        limits: CallerLimits | None = None,
        body_budget: ByteBudget | None = None,
        account: MemoryAccount | None = None,
        max_connections: int = sys.maxsize,
        on_limit: Callable[[str, asyncio.Transport], None] | None = None,
    ):
        self.handler = handler
        self.body_budget = body_budget or ByteBudget(sys.maxsize)
        self.account = account or MemoryAccount(sys.maxsize)
        self.max_connections = max_connections
        self.on_limit = on_limit or (lambda kind, transport: None)
        self.limits = limits or CallerLimits()
        self.closing = False
        self.connections: dict[HttpConnection, None] = {}
        self.unserved: dict[HttpConnection, None] = {}
        self.active_requests = 0
        self.accepted = 0
        self.read_buffer = memoryview(bytearray(READ_BYTES))

    async def listen(self, host: str, port: int) -> asyncio.Server:
        """Starts accepting connections."""
        return await listen(lambda: HttpConnection(self), host, port)

    def is_busy(self) -> bool:
        """Returns whether a request runs or a response is being sent."""
        return self.active_requests > 0 or any(
            connection.is_busy() for connection in self.connections
        )

    def close_idle(self) -> None:
        """Closes the connections that have no request."""
        for connection in list(self.connections):
            connection.close_if_idle()

    # Connections.

    def add(self, connection: HttpConnection) -> None:
        """Registers a connection; closes another one beyond the limit."""
        self.accepted += 1
        self.connections[connection] = None
        self.unserved[connection] = None
        if len(self.connections) > self.max_connections:
            self._drop(self._find_least_used(connection), "connections")

    def remove(self, connection: HttpConnection) -> None:
        """Forgets a connection that has ended."""
        self.connections.pop(connection, None)
        self.unserved.pop(connection, None)

    def _find_least_used(self, added: HttpConnection) -> HttpConnection:
        """Returns the connection that is closed for a new one.

        Clients that have not sent a request come first, then those whose
        requests were all answered, each the oldest first.
        """
        for connection in self.unserved:
            if connection is not added and not connection.pending:
                return connection
        for connection in self.connections:
            if connection is not added and connection.is_idle():
                return connection
        return added

    def _drop(self, connection: HttpConnection, kind: str) -> None:
        if connection.transport is not None:
            self.on_limit(kind, connection.transport)
        connection.drop()

    # Memory.

    def try_charge(self, connection: HttpConnection, size: int) -> bool:
        """Takes memory for a connection; returns whether there was enough.

        Connections that hold more and have no complete request are closed
        for it.
        """
        while not self.account.try_charge(size, connection.charged):
            victim = self._find_largest(connection.charged + size)
            if victim is None or victim is connection:
                return False
            self._drop(victim, "memory_of_others")
        connection.charged += size
        return True

    def charge(self, connection: HttpConnection, size: int) -> None:
        """Takes memory that is in use already."""
        self.account.charge(size)
        connection.charged += size
        while self.account.is_exceeded():
            victim = self._find_largest(SMALL_BYTES)
            if victim is None:
                return
            self._drop(victim, "memory_of_others")

    def release(self, connection: HttpConnection, size: int) -> None:
        """Returns memory of a connection."""
        self.account.release(size)
        connection.charged -= size

    def _find_largest(self, size: int) -> HttpConnection | None:
        """Returns the largest connection that may be closed for another one.

        Args:
          size: It must hold more than this.
        """
        slow = asyncio.get_running_loop().time() - BODY_STALL_S
        largest = None
        for connection in self.connections:
            if connection.charged <= size or not connection.is_droppable():
                continue
            if (
                connection.reader.is_reading_long_body()
                and connection.last_received_at > slow
            ):
                continue
            largest, size = connection, connection.charged
        return largest
