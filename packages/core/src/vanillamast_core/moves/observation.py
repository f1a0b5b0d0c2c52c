"""The outcome of one attempt of a service with an active move."""

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
      latency_s: Time to the response headers, or to the end of the attempt if
        there were none.
      cold: Whether the backend server was in slow start.
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
