"""The states of a backend server."""

import enum


class ServerState(enum.IntEnum):
    """State of a backend server, as announced by its node."""

    ABSENT = 0  # No backend server holds a lease with this node.
    STARTING = 1
    SERVING = 2
    DRAINING = 3
    STOPPED = 4
