"""A request on its way to one backend server."""

import dataclasses
from collections.abc import Awaitable, Callable

from vanillamast_sidecar.http_message import Headers

Confirm = Callable[[], Awaitable[bool]]


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
      objective: When it is due by its latency objective, in loop time.
      nested: Whether a request that holds a slot elsewhere waits for it.
      method: Method.
      target: Request target.
      headers: Fields to forward.
      body: Body.
      confirm: Asks the sender of a request that may not run twice whether it
        still wants it; None if nothing can be lost on the way.
    """

    request_id: bytes
    instance_id: str
    born_ms: int
    route: str
    priority: int
    idempotent: bool
    deadline: float
    objective: float
    nested: bool
    method: str
    target: str
    headers: Headers
    body: bytes
    confirm: Confirm | None = None
