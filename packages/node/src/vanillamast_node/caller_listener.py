"""The listener for callers."""

import asyncio
import contextlib
import dataclasses
import socket
from collections.abc import Iterator

import uvicorn

from vanillamast_node.caller_app import CallerApp
from vanillamast_node.caller_protocol import CallerProtocol
from vanillamast_node.forwarding_context import ForwardingContext
from vanillamast_node.listener_budget import ListenerBudget
from vanillamast_node.listening_socket import (
    ACCEPTS_AT_ONCE,
    BACKLOG,
    open_socket,
)

POLL_S = 0.005
# Share of the descriptors for connections of callers.
FD_SHARE = 3 / 8
# The response to a request may be sent this much later than its deadline.
RESPONSE_MARGIN_S = 0.1


@dataclasses.dataclass(slots=True, frozen=True)
class InterruptedRequest:
    """A request that was interrupted by a planned stop.

    Attributes:
      route: Name of its route.
      phase: Phase of its exchange when it was interrupted.
    """

    route: str
    phase: str


class _Server(uvicorn.Server):
    """uvicorn's server without its own signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class CallerListener:
    """Accepts callers' connections and forwards their requests.

    Attributes:
      context: Dependencies shared by all requests.
      app: The ASGI application.
      address: "ip:port" to listen on; the bound address once started.
    """

    def __init__(self, context: ForwardingContext, address: str):
        self.context = context
        self.address = address
        self.app = CallerApp(context)
        self.server: _Server | None = None
        self.serve_task: asyncio.Task[None] | None = None
        self.socket: socket.socket | None = None

    async def start(self) -> None:
        """Opens the listener.

        Raises:
          OSError: The address cannot be used.
        """
        self.socket = open_socket(self.address)
        name = self.socket.getsockname()
        self.address = f"{name[0]}:{name[1]}"
        settings = self.context.settings
        protocol = type(
            "_ConfiguredProtocol",
            (CallerProtocol,),
            {
                "header_limit_bytes": settings.header_bytes,
                "header_timeout_s": settings.header_timeout_s,
                "budget": ListenerBudget(
                    settings.client_memory_bytes, FD_SHARE
                ),
            },
        )
        config = uvicorn.Config(
            self.app,
            http=protocol,
            ws="none",
            loop="asyncio",
            lifespan="off",
            access_log=False,
            log_config=None,
            log_level="critical",
            server_header=False,
            date_header=False,
            backlog=ACCEPTS_AT_ONCE,
            proxy_headers=False,
            timeout_keep_alive=max(1, round(settings.caller_idle_s)),
        )
        self.server = _Server(config)
        self.serve_task = asyncio.create_task(
            self.server.serve(sockets=[self.socket])
        )
        while not self.server.started:
            if self.serve_task.done():
                await self.serve_task
            await asyncio.sleep(POLL_S)
        # asyncio uses one number for both; the kernel's is raised here.
        self.socket.listen(BACKLOG)

    async def drain(
        self, delay_s: float | None = None, limit_s: float | None = None
    ) -> list[InterruptedRequest]:
        """Stops accepting connections and waits for the requests in flight.

        A request that could outlive the limit is refused.

        During the delay responses carry "connection: close", so that few
        callers send a request on a connection that the node is closing.

        Args:
          delay_s: Seconds to keep accepting connections; None for the value
            in the settings.
          limit_s: Seconds to wait after that for requests in flight; None for
            the value in the settings.

        Returns:
          The requests that were interrupted.
        """
        assert self.server is not None
        assert self.serve_task is not None
        settings = self.context.settings
        delay = settings.drain_delay_s if delay_s is None else delay_s
        limit = settings.drain_limit_s if limit_s is None else limit_s
        exit_at = asyncio.get_running_loop().time() + delay + limit
        self.app.draining = True
        self.context.last_deadline = exit_at - RESPONSE_MARGIN_S
        await asyncio.sleep(delay)
        self.server.should_exit = True
        while self.app.calls or not self.serve_task.done():
            if asyncio.get_running_loop().time() >= exit_at:
                break
            await asyncio.sleep(POLL_S)
        interrupted = [
            InterruptedRequest(
                call.exchange.route_name, call.exchange.phase.name.lower()
            )
            for call in self.app.calls
            if call.exchange is not None
        ]
        await self.stop()
        return interrupted

    async def stop(self) -> None:
        """Closes the listener and all connections immediately."""
        assert self.server is not None
        assert self.serve_task is not None
        self.server.should_exit = True
        self.server.force_exit = True
        for connection in list(self.server.server_state.connections):
            if isinstance(connection, CallerProtocol):
                connection.abort()
        await self.serve_task
        if self.context.settlement_tasks:
            await asyncio.wait(self.context.settlement_tasks, timeout=1.0)
