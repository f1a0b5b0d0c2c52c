"""A request on its way to one backend server."""

import dataclasses
from collections.abc import Awaitable, Callable

from vanillamast_sidecar.http_message import Headers

Confirm = Callable[[], Awaitable[bytes | None]]


@dataclasses.dataclass(slots=True)
class ServerCall:
    """One attempt, as the node beside the server takes it.

    Attributes:
      request_id: Id of the caller's attempt.
      instance_id: Id of the server that is to run it.
      born_ms: Incarnation of that server.
      route: Name of the route, for statistics.
      rank: Place among waiting requests, the lowest first.
      idempotent: Whether it may run more than once.
      deadline: When it must have ended, in loop time.
      soft_deadline: When it should have ended, in loop time.
      method: Method.
      target: Request target.
      headers: Fields to forward.
      body: Body.
      confirm: Asks the sender of a request that may not run twice for its
        body, None if it no longer wants it; None if nothing can be lost on
        the way.
    """

    request_id: bytes
    instance_id: str
    born_ms: int
    route: str
    rank: int
    idempotent: bool
    deadline: float
    soft_deadline: float
    method: str
    target: str
    headers: Headers
    body: bytes
    confirm: Confirm | None = None
