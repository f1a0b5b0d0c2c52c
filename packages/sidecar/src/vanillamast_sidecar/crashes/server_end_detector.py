"""Tells the end of the local server from the loss of a connection."""

import asyncio
from collections.abc import Callable

from vanillamast_sidecar.crashes.crash_suspects import CrashSuspects
from vanillamast_sidecar.crashes.server_end import ServerEnd
from vanillamast_sidecar.errors import ConnectError
from vanillamast_sidecar.http.connection_pool import ConnectionPool
from vanillamast_sidecar.membership.instance_record import InstanceRecord

CONNECT_TIMEOUT_S = 0.5  # The server is on the same machine.
# A server that ends loses the connections of all requests within this time.
CHECK_DELAY_S = 0.002


class ServerEndDetector:
    """Connects to a server that has lost the connection of a request.

    Attributes:
      suspects: Knows which requests servers have answered.
      on_unreachable: Called when the server refuses a connection.
      on_end: Called with the end of the server.
      lost_requests: Digests of the requests that were lost since the last
        check.
      check: The check that is under way, None without one.
    """

    def __init__(
        self,
        suspects: CrashSuspects,
        on_unreachable: Callable[[], None],
        on_end: Callable[[ServerEnd], None],
    ):
        self.suspects = suspects
        self.on_unreachable = on_unreachable
        self.on_end = on_end
        self.loop = asyncio.get_running_loop()
        self.lost_requests: list[int] = []
        self.check: asyncio.Task[None] | None = None

    def handle_lost_request(
        self,
        digest: int,
        server: InstanceRecord,
        pool: ConnectionPool,
        running: int,
    ) -> None:
        """Checks the server, once for all requests that it loses at a time.

        Args:
          digest: Digest of the request.
          server: The server.
          pool: Connections to it.
          running: Number of requests that it ran.
        """
        self.lost_requests.append(digest)
        if self.check is None:
            self.check = self.loop.create_task(
                self._check(server, pool, running)
            )

    async def _check(
        self, server: InstanceRecord, pool: ConnectionPool, running: int
    ) -> None:
        try:
            await asyncio.sleep(CHECK_DELAY_S)
            connection = await pool.connect(CONNECT_TIMEOUT_S, running + 1)
            pool.release(connection)
        except ConnectError:
            self.on_unreachable()
            self.on_end(self._make_end(server))
        finally:
            self.lost_requests = []
            self.check = None

    def _make_end(self, server: InstanceRecord) -> ServerEnd:
        digests = self.suspects.select(
            server.service, server.version, self.lost_requests
        )
        return ServerEnd(
            server.service, server.version, server.id, server.born_ms, digests
        )
