"""A request on its way to one backend server."""

import dataclasses

from vanillamast_sidecar.http_message import Headers


@dataclasses.dataclass(slots=True)
class ServerCall:
    """One attempt, as the node beside the server takes it.

    Attributes:
      request_id: Id of the caller's attempt.
      instance_id: Id of the server that is to run it.
      born_ms: Incarnation of that server.
      route: Name of the route, for statistics.
      priority: Rank in the queue, 0 is the highest.
      idempotent: Whether it may run more than once.
      deadline: When it must have ended, in loop time.
      patience_s: Longest expected wait for a slot, in seconds.
      method: Method.
      target: Request target.
      headers: Fields to forward.
      body: Body.
    """

    request_id: bytes
    instance_id: str
    born_ms: int
    route: str
    priority: int
    idempotent: bool
    deadline: float
    patience_s: float
    method: str
    target: str
    headers: Headers
    body: bytes
