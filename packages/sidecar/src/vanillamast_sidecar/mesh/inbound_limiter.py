"""Limits the connections that other nodes, or anyone, open."""

import asyncio
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

from vanillamast_sidecar.http.memory_account import MemoryAccount

if TYPE_CHECKING:
    from vanillamast_sidecar.mesh.peer_server import PeerServer


class InboundLimiter:
    """Limits the connections and what they cost the process together.

    Attributes:
      max_connections: Most open connections.
      account: What unfinished frames, requests and unsent responses cost.
      on_limit: Called with the kind of a limit that a client met, and its
        transport.
      open: Open connections.
      strangers: Those that have not sent a hello, oldest first.
    """

    def __init__(self) -> None:
        self.max_connections = sys.maxsize
        self.account = MemoryAccount(sys.maxsize)
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

    # Memory.

    def try_charge(self, connection: "PeerServer", size: int) -> bool:
        """Takes memory for a connection; returns whether there was enough.

        Room is made at the expense of connections that hold more: nodes thus
        get equal parts when all ask for more than there is.
        """
        while not self.account.try_charge(size, connection.charged):
            if not self._make_room(connection.charged + size):
                return False
        connection.charged += size
        return True

    def charge(self, connection: "PeerServer", size: int) -> None:
        """Takes memory that is in use already."""
        self.account.charge(size)
        connection.charged += size
        while self.account.is_exceeded():
            if not self._make_room(0):
                return

    def release(self, connection: "PeerServer", size: int) -> None:
        """Returns memory of a connection."""
        self.account.release(size)
        connection.charged -= size

    def _make_room(self, size: int) -> bool:
        """Frees something; returns whether there was anything to free.

        A frame that has stopped arriving is given up first, then a request
        that waits for the server, of the connection that holds the most.

        Args:
          size: That connection must hold more than this.
        """
        stalled = max(
            (connection for connection in self.open if connection.is_stalled()),
            key=lambda connection: connection.charged,
            default=None,
        )
        if stalled is not None:
            self.close(stalled, "memory_of_others")
            stalled.release_buffers()
            return True
        victims = sorted(
            (
                connection
                for connection in self.open
                if connection.charged > size and connection.calls
            ),
            key=lambda connection: connection.charged,
            reverse=True,
        )
        return any(victim.refuse_waiting_call() for victim in victims)
