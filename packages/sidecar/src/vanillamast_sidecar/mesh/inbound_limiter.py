"""Limits the connections that other nodes, or anyone, open."""

import asyncio
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillamast_sidecar.mesh.peer_server import PeerServer


class InboundLimiter:
    """Closes connections beyond a limit.

    Attributes:
      max_connections: Most open connections.
      on_limit: Called with the kind of a limit that a client met, and its
        transport.
      open: Open connections.
      strangers: Those that have not sent a hello, oldest first.
    """

    def __init__(self) -> None:
        self.max_connections = sys.maxsize
        self.on_limit: Callable[[str, asyncio.Transport], None] = (
            lambda kind, transport: None
        )
        self.open: set[PeerServer] = set()
        self.strangers: dict[PeerServer, None] = {}

    def add(self, connection: "PeerServer") -> None:
        """Registers a connection.

        Beyond the limit, one without a hello is closed, the oldest first; if
        all others have sent one, that is the new one.
        """
        self.open.add(connection)
        self.strangers[connection] = None
        if len(self.open) > self.max_connections:
            self.close(next(iter(self.strangers)), "connections")

    def greet(self, connection: "PeerServer") -> None:
        """Notes that a connection has sent its hello."""
        self.strangers.pop(connection, None)

    def close(self, connection: "PeerServer", kind: str) -> None:
        """Closes a connection that met a limit."""
        if connection.transport is not None:
            self.on_limit(kind, connection.transport)
        self.remove(connection)
        connection.close()

    def remove(self, connection: "PeerServer") -> None:
        """Forgets a connection."""
        self.open.discard(connection)
        self.strangers.pop(connection, None)
