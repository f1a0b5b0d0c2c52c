"""A request of a caller on its way to an answer."""

import dataclasses

from vanillamast_sidecar.call_result import CallResult
from vanillamast_sidecar.http_message import Headers, HttpRequest, HttpResponse
from vanillamast_sidecar.route import Route


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request of a caller.

    Attributes:
      request: The request.
      route: Its route.
      service: Service that it goes to.
      request_id: Id of the caller's attempt.
      arrived_at: When it was read, in loop time.
      deadline: When the caller must have an answer, in loop time.
      soft_deadline: When a server should have answered, in loop time.
      same_domain_deadline: When a near server should have answered for the
        request to stay
        in its failure domain, in loop time.
      rank: Place among the requests that wait for a server.
      headers: Fields to forward.
      tried_instances: Servers that were offered the request.
      attempts: Attempts that arrived at a server.
      refusals: Nodes that refused it.
      may_have_run: Whether some attempt may have run.
      last_result: How the last attempt ended.
      response: A server's failure that is delivered if no other server answers.
    """

    request: HttpRequest
    route: Route
    service: str
    request_id: bytes
    arrived_at: float
    deadline: float
    soft_deadline: float
    same_domain_deadline: float
    rank: int
    headers: Headers
    tried_instances: set[str]
    attempts: int = 0
    refusals: int = 0
    may_have_run: bool = False
    last_result: CallResult | None = None
    response: HttpResponse | None = None
