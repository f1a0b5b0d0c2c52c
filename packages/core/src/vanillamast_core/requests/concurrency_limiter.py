"""The adaptive concurrency limit of one backend server."""

import dataclasses

from vanillamast_core.requests.settings import RequestSettings


@dataclasses.dataclass(slots=True)
class ConcurrencyLimiter:
    """Additive increase, multiplicative decrease (AIMD) of a server's limit.

    Attributes:
      settings: Settings of the request path.
      slots: Requests that the backend server runs at once.
      connections: Connections that the backend server accepts.
      limit: Most requests that this node may have in flight there.
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
        """Applies newly announced sizes; lowers the limit if necessary."""
        if (slots, connections) == (self.slots, self.connections):
            return
        self.slots = slots
        self.connections = connections
        self.limit = min(self.limit, self.max_limit)

    def record_success(self) -> None:
        """Counts a success; after `limit` successes the limit grows by 1."""
        self.successes += 1
        if self.successes >= self.limit:
            self.successes = 0
            self.limit = min(self.limit + 1.0, self.max_limit)

    def record_shed(self) -> None:
        """Lowers the limit because the backend server shed a request."""
        self.successes = 0
        self.limit = max(1.0, self.limit * self.settings.shed_factor)
