"""Load of a backend server."""

import msgspec


class LoadReport(msgspec.Struct, array_like=True, frozen=True):
    """Load of a node's backend server.

    Attributes:
      running: Number of requests that the server runs.
      waiting: Number of requests that wait at the node for a slot.
      mean_service_s: Mean time that a request holds a slot.
      failure_share: Share of recent requests that failed at the server.
      rate_wait_s: Time until the server's rate limit allows another request.
      pace: How long work takes on the server's machine now, in percent of the
        usual time; 0 if the server does not state it.
      memory_level: 0 while most of the node's memory for requests of other
        nodes is free, else 1 + the power of two up to which it is, in bytes.
    """

    running: int
    waiting: int
    mean_service_s: float
    failure_share: float
    rate_wait_s: float = 0.0
    pace: int = 0
    memory_level: int = 0

    def has_memory_for(self, cost: int) -> bool:
        """Returns whether the node has memory for a request."""
        return not self.memory_level or cost <= 1 << (self.memory_level - 1)
