"""Idle connections to the local backend server."""

import asyncio

from vanillamast_sidecar.http.byte_budget import ByteBudget
from vanillamast_sidecar.http.client_connection import ClientConnection
from vanillamast_sidecar.http.response_limits import ResponseLimits

# Subtracted from the idle timeout that the server announces: the announced
# time is rounded to seconds, and the server may close a connection earlier.
IDLE_MARGIN_S = 2.0
# Used if the server announces no idle timeout.
DEFAULT_IDLE_LIMIT_S = 4.0
# Non-idempotent requests only use connections idle for less than this: a server
# may close an idle connection earlier than announced.
NON_IDEMPOTENT_IDLE_LIMIT_S = 1.0


class ConnectionPool:
    """Idle connections, the most recently used first.

    Attributes:
      host: Host of the server.
      port: Port of the server.
      id_field: Header field in which responses echo the request's id.
      limits: Limits on responses.
      budget: Body bytes that all connections of the process may keep.
      max_connections: Connections that the server accepts; None for any
        number.
      idle: Idle connections, oldest first.
    """

    def __init__(
        self,
        host: str,
        port: int,
        id_field: bytes,
        limits: ResponseLimits,
        budget: ByteBudget,
    ):
        self.host = host
        self.port = port
        self.id_field = id_field
        self.limits = limits
        self.budget = budget
        self.max_connections: int | None = None
        self.idle: list[ClientConnection] = []

    async def acquire(
        self,
        now: float,
        idempotent: bool,
        connect_timeout_s: float,
        in_use: int = 1,
    ) -> ClientConnection:
        """Returns an idle connection or a new one.

        Args:
          now: Loop time, in seconds.
          idempotent: Whether the request may run more than once.
          connect_timeout_s: Longest wait for a new connection, in seconds.
          in_use: Connections in use, including the returned one.

        Raises:
          ConnectError: The server cannot be reached.
        """
        while self.idle:
            connection = self.idle[-1]
            limit = connection.idle_limit_s - IDLE_MARGIN_S
            if connection.idle_limit_s == 0.0:
                limit = DEFAULT_IDLE_LIMIT_S
            if not idempotent:
                limit = min(limit, NON_IDEMPOTENT_IDLE_LIMIT_S)
            if connection.is_usable(now, limit):
                return self.idle.pop()
            if idempotent or not connection.is_usable(
                now, DEFAULT_IDLE_LIMIT_S
            ):
                self.idle.pop().close()
                continue
            break
        return await self.connect(connect_timeout_s, in_use)

    async def connect(
        self, timeout_s: float, in_use: int = 1
    ) -> ClientConnection:
        """Returns a new connection.

        Idle connections are closed first if the server would not accept
        another one beside them.

        Args:
          timeout_s: Longest wait, in seconds.
          in_use: Connections in use, including the new one.

        Raises:
          ConnectError: The server cannot be reached.
        """
        if self._close_excess(in_use):
            # The transports close in the next iteration of the loop.
            await asyncio.sleep(0)
        connection = ClientConnection(self.id_field, self.limits, self.budget)
        await connection.open(self.host, self.port, timeout_s)
        return connection

    def _close_excess(self, in_use: int) -> int:
        """Closes the oldest idle connections beyond the server's limit.

        Returns:
          How many were closed.
        """
        if self.max_connections is None:
            return 0
        excess = len(self.idle) + in_use - self.max_connections
        closed = self.idle[: max(0, excess)]
        del self.idle[: len(closed)]
        for connection in closed:
            connection.close()
        return len(closed)

    def release(self, connection: ClientConnection) -> None:
        """Returns a connection to the pool; closes it if not reusable."""
        if connection.reusable and connection.transport is not None:
            self.idle.append(connection)
        else:
            connection.close()

    def drop_idle(self) -> None:
        """Closes all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()
