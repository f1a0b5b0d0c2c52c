"""Routes of a configuration snapshot."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Where requests of one host and path prefix go.

    Attributes:
      name: Name of the route.
      host: Host, in lower case and without a port.
      path_prefix: Prefix of the path; begins and ends with a slash.
      idempotent: Whether a request may run more than once.
      timeout_s: Longest time that a caller is kept waiting, in seconds.
      target_latency_s: Latency objective, in seconds.
      priority: Rank among the requests of a server, 0 is the highest.
      max_attempts: Servers to which one request may be sent.
      split: Services and their weights.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    timeout_s: float
    target_latency_s: float
    priority: int
    max_attempts: int
    split: tuple[tuple[str, float], ...]
