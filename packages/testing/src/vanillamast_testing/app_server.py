"""Runs an ASGI application on uvicorn, in a test or as a process."""

import asyncio
import contextlib
import signal
import socket
from collections.abc import AsyncIterator, Iterator
from typing import Any

import uvicorn

from vanillamast_testing.connection_control import ControlledHttpProtocol

GRACEFUL_SHUTDOWN_S = 1
START_POLL_S = 0.005


class _EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves the process's signal handlers alone."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


def bind(address: str) -> socket.socket:
    """Returns a listening socket at "ip:port"; port 0 picks a free one."""
    host, _, port = address.rpartition(":")
    # asyncio sets TCP_NODELAY only on sockets whose protocol is given; without
    # it an answer in two segments waits 40 ms for the delayed acknowledgement.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(1024)
    return listener


@contextlib.asynccontextmanager
async def serve(app: Any, *addresses: str) -> AsyncIterator[list[str]]:
    """Serves an application while the context is open.

    Args:
      app: The ASGI application.
      *addresses: "ip:port" to listen on; port 0 picks a free one.

    Yields:
      The bound addresses, in the order of the arguments.
    """
    listeners = [bind(address) for address in addresses]
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=ControlledHttpProtocol,
        ws="none",
        lifespan="off",
        log_level="critical",
        access_log=False,
        timeout_graceful_shutdown=GRACEFUL_SHUTDOWN_S,
    )
    server = _EmbeddedServer(config)
    task = asyncio.create_task(server.serve(sockets=listeners))
    while not server.started and not task.done():
        await asyncio.sleep(START_POLL_S)
    try:
        yield ["{}:{}".format(*s.getsockname()) for s in listeners]
    finally:
        server.should_exit = True
        await task


async def wait_for_stop(run_for_s: float) -> None:
    """Returns at SIGTERM or SIGINT, or after `run_for_s` seconds."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(stop.wait(), run_for_s)
