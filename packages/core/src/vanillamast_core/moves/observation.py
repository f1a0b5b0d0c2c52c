"""The outcome of one request of a service with an active move."""

import dataclasses

from vanillamast_core.moves.evidence import Side


@dataclasses.dataclass(slots=True, frozen=True)
class Observation:
    """The outcome of one attempt at a backend server.

    Attributes:
      move: `Move.started_at`.
      route: Name of the route.
      side: Version that the request went to.
      instance: Backend server instance.
      server_domain: Failure domain of the backend server.
      connected: Whether the connection was established.
      failed: Whether the attempt failed; implied if it did not connect.
      latency_s: Time to the end of the response.
      cold: Whether the backend server had started only seconds before.
    """

    move: int
    route: str
    side: Side
    instance: str
    server_domain: str
    connected: bool = True
    failed: bool = False
    latency_s: float = 0.0
    cold: bool = False
