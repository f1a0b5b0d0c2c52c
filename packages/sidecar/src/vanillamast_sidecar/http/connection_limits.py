"""How many connections the listeners of a process accept."""

import dataclasses
import sys

# Descriptors that the platform reserves for files, of `max_fds`.
FILE_FDS = 200
# Of the rest, callers and other nodes may take three eighths each: 1,462 of
# 4,100. The last quarter is left for this node's own connections.
MAIN_PARTS = 3
MAIN_WHOLE = 8
# Each of the listeners for readiness, heartbeats and metrics: 60 of 4,100.
SMALL_WHOLE = 64
MIN_CONNECTIONS = 4


@dataclasses.dataclass(slots=True, frozen=True)
class ConnectionLimits:
    """Limits on accepted connections.

    Attributes:
      callers: Most connections of callers.
      peers: Most connections that other nodes open.
      small: Most connections of each other listener.
    """

    callers: int = sys.maxsize
    peers: int = sys.maxsize
    small: int = sys.maxsize


def get_connection_limits(max_fds: int) -> ConnectionLimits:
    """Returns the limits for a number of descriptors.

    Args:
      max_fds: Descriptors that the process may open; 0 if it is not limited.
    """
    if not max_fds:
        return ConnectionLimits()
    usable = max(0, max_fds - FILE_FDS)
    main = max(MIN_CONNECTIONS, usable * MAIN_PARTS // MAIN_WHOLE)
    return ConnectionLimits(
        main, main, max(MIN_CONNECTIONS, usable // SMALL_WHOLE)
    )
