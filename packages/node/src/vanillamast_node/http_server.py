"""Runs an ASGI application on uvicorn inside the node's event loop."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Any

import uvicorn

from vanillamast_node.bounded_protocol import BoundedProtocol
from vanillamast_node.listener_budget import ListenerBudget
from vanillamast_node.listening_socket import (
    ACCEPTS_AT_ONCE,
    BACKLOG,
    open_socket,
)

START_POLL_S = 0.01
# Three of the largest legal heads at once, beside ordinary requests.
MEMORY_BYTES = 4 << 20
# Share of the descriptors: operators and servers have few connections.
FD_SHARE = 1 / 64


class HttpServer(uvicorn.Server):
    """One listener, without uvicorn's signal handlers.

    Attributes:
      address: "ip:port" that it listens on.
      task: The task that serves, once started.
    """

    def __init__(self, app: Any, address: str, **options: Any):
        self.address = address
        protocol = type(
            "_ConfiguredProtocol",
            (BoundedProtocol,),
            {"budget": ListenerBudget(MEMORY_BYTES, FD_SHARE)},
        )
        super().__init__(
            uvicorn.Config(
                app,
                loop="asyncio",
                http=protocol,
                ws="none",
                lifespan="off",
                access_log=False,
                log_config=None,
                log_level="critical",
                server_header=False,
                date_header=False,
                backlog=ACCEPTS_AT_ONCE,
                **options,
            )
        )
        self.task: asyncio.Task[None] | None = None

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Keeps the signal handlers of the process."""
        yield

    async def start_serving(self) -> None:
        """Starts the listener and returns when it accepts connections.

        Raises:
          OSError: The address is in use or not local.
        """
        listener = open_socket(self.address)
        self.task = asyncio.create_task(self.serve(sockets=[listener]))
        while not self.started and not self.task.done():
            await asyncio.sleep(START_POLL_S)
        if self.task.done():
            await self.task
        # asyncio uses one number for both; the kernel's is raised here.
        listener.listen(BACKLOG)

    async def stop_serving(self) -> None:
        """Closes the listener and waits for requests in flight."""
        self.should_exit = True
        if self.task is not None:
            await asyncio.gather(self.task, return_exceptions=True)
