"""Kept connections to the backend server beside the node."""

from vanillamast_sidecar.client_connection import ClientConnection

# The server may close an idle connection this long before the time that it
# states, which is in whole seconds.
IDLE_MARGIN_S = 2.0
# Used while the server states no time.
DEFAULT_IDLE_LIMIT_S = 4.0
# Requests that may not run twice use only connections that are this fresh: a
# server may drop an idle connection sooner than it says.
NON_IDEMPOTENT_IDLE_LIMIT_S = 1.0


class ConnectionPool:
    """Idle connections, the most recently used first.

    Attributes:
      host: Host of the server.
      port: Port of the server.
      id_field: Field in which answers echo the request's id.
      idle: Idle connections, oldest first.
    """

    def __init__(self, host: str, port: int, id_field: bytes):
        self.host = host
        self.port = port
        self.id_field = id_field
        self.idle: list[ClientConnection] = []

    async def acquire(
        self, now: float, idempotent: bool, connect_timeout_s: float
    ) -> ClientConnection:
        """Returns an idle connection or a new one.

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
        connection = ClientConnection(self.id_field)
        await connection.open(self.host, self.port, connect_timeout_s)
        return connection

    def release(self, connection: ClientConnection) -> None:
        """Takes a connection back after an answer."""
        if connection.reusable and connection.transport is not None:
            self.idle.append(connection)
        else:
            connection.close()

    def drop_idle(self) -> None:
        """Closes all idle connections."""
        for connection in self.idle:
            connection.close()
        self.idle.clear()
