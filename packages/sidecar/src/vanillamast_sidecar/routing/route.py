"""Routes of a configuration snapshot."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """How requests to a host and path prefix are forwarded.

    Attributes:
      name: Name of the route.
      host: Host, in lower case and without a port.
      path_prefix: Prefix of the path; begins and ends with a slash.
      idempotent: Whether a request may run more than once.
      timeout_s: Longest time that a caller waits, in seconds.
      target_latency_s: Latency objective, in seconds.
      priority: Priority of its requests; 0 is the most urgent.
      max_attempts: Largest number of servers to which a request is sent.
      split: Services and their weights.
      requires_key: Whether a request needs an API key if the configuration
        has organisations.
      is_download: Whether its responses are large.
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
    requires_key: bool = True
    is_download: bool = False
