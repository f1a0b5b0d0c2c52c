"""One attempt of a request, as its second hop receives it."""

import dataclasses
from collections.abc import Awaitable, Callable

from vanillamast_sidecar.http.http_message import Body, Headers

Confirm = Callable[[], Awaitable[Body | None]]


@dataclasses.dataclass(slots=True)
class ServerCall:
    """An attempt to run a request on a given server.

    Attributes:
      request_id: Id of the caller's attempt.
      instance_id: Id of the server that is to run it.
      born_ms: Start time of that server's incarnation, in Unix milliseconds.
      route: Name of the route, for statistics.
      rank: Rank among the requests that wait for a slot, the lowest first.
      idempotent: Whether it may run more than once.
      deadline: When its caller gives up, in loop time.
      soft_deadline: When it should have ended, in loop time.
      method: HTTP method.
      target: Request target.
      headers: Header fields to forward.
      body: Body; empty if `confirm` returns it.
      confirm: Gets the body of a non-idempotent request from its sender, or
        None if the sender gave up. None if the request is idempotent or does
        not come from another node.
      organisation: Name of the organisation that sent it, "" without one.
      may_wait: Whether it may wait for a slot; else it is refused without one.
      remote: Whether another node has sent it.
      body_bytes: Size of the body that `confirm` returns.
      has_slot: Whether it has got a slot; until then, it has not run.
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
    body: Body
    confirm: Confirm | None = None
    organisation: str = ""
    may_wait: bool = True
    remote: bool = False
    body_bytes: int = 0
    has_slot: bool = False

    @property
    def host(self) -> bytes:
        """Returns the host that the request names."""
        for name, value in self.headers:
            if name.lower() == b"host":
                return value
        return b""
