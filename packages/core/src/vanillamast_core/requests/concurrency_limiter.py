"""The limit on concurrent requests to one backend server."""

import dataclasses

from vanillamast_core.requests.settings import RequestSettings


@dataclasses.dataclass(slots=True)
class ConcurrencyLimiter:
    """Additive increase, multiplicative decrease of a server's limit.

    Attributes:
      settings: Settings of the request path.
      slots: Requests that the backend server runs at once.
      connections: Connections that the backend server accepts.
      limit: Requests that this node has in flight there at most.
      successes: Successes since the limit last changed.
    """

    settings: RequestSettings
    slots: int
    connections: int
    limit: float = 0.0
    successes: int = 0

    def __post_init__(self) -> None:
        self.limit = min(float(max(1, self.slots)), self.max_limit)

    @property
    def max_limit(self) -> float:
        """The highest value that the limit may take."""
        growth = self.slots * self.settings.limit_growth
        return max(1.0, min(growth, float(self.connections)))

    def resize(self, slots: int, connections: int) -> None:
        """Takes newly announced sizes and keeps the limit within them."""
        if (slots, connections) == (self.slots, self.connections):
            return
        self.slots = slots
        self.connections = connections
        self.limit = min(self.limit, self.max_limit)

    def record_success(self) -> None:
        """Counts a success; raises the limit after as many as the limit."""
        self.successes += 1
        if self.successes >= self.limit:
            self.successes = 0
            self.limit = min(self.limit + 1.0, self.max_limit)

    def record_shed(self) -> None:
        """Lowers the limit after the backend server shed a request."""
        self.successes = 0
        self.limit = max(1.0, self.limit * self.settings.shed_factor)
