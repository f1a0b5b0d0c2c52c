"""What the connections of one listener may cost the process."""

import resource
import sys
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from vanillamast_node.bounded_protocol import BoundedProtocol

# Descriptors that are left to files and to connections of the node's own.
RESERVED_FDS = 200
MIN_CONNECTIONS = 8
# A connection that holds less may use the last part of the memory.
SMALL_BYTES = 65_536
SMALL_PART = 32


class ListenerBudget:
    """Limits the connections of a listener and the memory that they hold.

    Sizes are in what bytes cost the process, not in payload.

    Attributes:
      limit_bytes: Most bytes at once.
      fd_share: Share of the process's descriptors for connections.
      used_bytes: Bytes in use.
      connections: Open connections, the oldest first.
    """

    def __init__(self, limit_bytes: int, fd_share: float):
        self.limit_bytes = limit_bytes
        self.fd_share = fd_share
        self.used_bytes = 0
        self.connections: dict[BoundedProtocol, None] = {}

    @property
    def max_connections(self) -> int:
        """Returns how many connections may be open."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft == resource.RLIM_INFINITY:
            return sys.maxsize
        usable = max(0, soft - RESERVED_FDS)
        return max(MIN_CONNECTIONS, int(usable * self.fd_share))

    def add(self, connection: "BoundedProtocol") -> None:
        """Registers a connection; beyond the limit, an idle one is closed."""
        self.connections[connection] = None
        if len(self.connections) > self.max_connections:
            idle = (other for other in self.connections if other.is_droppable())
            next(idle, connection).drop()

    def remove(self, connection: "BoundedProtocol") -> None:
        """Forgets a connection and what it holds."""
        if self.connections.pop(connection, connection) is None:
            self.release(connection, connection.charged_bytes)

    def try_charge(self, connection: "BoundedProtocol", size: int) -> bool:
        """Takes memory for a connection; returns whether there was enough.

        Connections that hold more and have no complete request are closed.
        """
        limit = self.limit_bytes
        held = connection.charged_bytes + size
        if held > SMALL_BYTES:
            limit -= limit // SMALL_PART
        while self.used_bytes + size > limit:
            largest = max(
                (other for other in self.connections if other.is_droppable()),
                key=lambda other: other.charged_bytes,
                default=None,
            )
            if largest is None or largest.charged_bytes <= held:
                return False
            largest.drop()
        self.used_bytes += size
        connection.charged_bytes += size
        return True

    def release(self, connection: "BoundedProtocol", size: int) -> None:
        """Returns memory of a connection."""
        self.used_bytes -= size
        connection.charged_bytes -= size
