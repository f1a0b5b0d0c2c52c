"""Accepts connections in small numbers at a time."""

import asyncio
import socket
from collections.abc import Callable

# Connections that wait in the kernel.
BACKLOG = 1024
# Connections accepted before the event loop goes on. They count towards no
# limit until then, so many at once could take all descriptors.
ACCEPTS_AT_ONCE = 16


async def listen(
    make_protocol: Callable[[], asyncio.BaseProtocol], host: str, port: int
) -> asyncio.Server:
    """Starts accepting connections."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        make_protocol, host, port, backlog=ACCEPTS_AT_ONCE
    )
    # asyncio uses one number for both; the kernel's is raised here.
    for sock in server.sockets:
        with socket.fromfd(sock.fileno(), sock.family, sock.type) as duplicate:
            duplicate.listen(BACKLOG)
    return server
