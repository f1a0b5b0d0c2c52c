"""How busy a backend server is."""

import msgspec


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Load of the backend server beside a node.

    Attributes:
      running: Requests that the server runs.
      waiting: Requests that wait at the node for a slot.
      mean_service_s: Mean time that a request holds a slot, in seconds.
      failure_share: Recent share of requests that failed at the server.
    """

    running: int
    waiting: int
    mean_service_s: float
    failure_share: float
