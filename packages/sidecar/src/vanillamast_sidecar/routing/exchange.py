"""The state of a caller's request at its first hop."""

import dataclasses

from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.balancing.slot_search import SlotSearch
from vanillamast_sidecar.crashes.request_digest import digest_request
from vanillamast_sidecar.http.http_message import Headers, HttpRequest
from vanillamast_sidecar.http.memory_costs import get_call_cost
from vanillamast_sidecar.organisations.organisation import Organisation
from vanillamast_sidecar.routing.route import Route


@dataclasses.dataclass(slots=True)
class Exchange:
    """A caller's request and its attempts.

    Attributes:
      request: The request.
      route: Its route.
      service: Service that it goes to.
      request_id: Id of the caller's attempt.
      arrived_at: When the whole request had arrived, in loop time.
      deadline: When the caller gives up, in loop time.
      soft_deadline: When a server should have answered, in loop time.
      same_domain_deadline: The request goes to another failure domain if no
        server of this one is expected to answer by then, in loop time.
      rank: Rank among the requests that wait for a slot, the lowest first.
      headers: Header fields to forward.
      tried_instances: Ids of the servers to which the request was sent.
      organisation: Organisation that sent it; None without one.
      search: Search for a free slot; None if the request waits at once.
      attempts: Attempts in which the request was sent to a server.
      refusals: Attempts that a node refused.
      may_have_run: Whether some attempt may have run.
      last_result: How the last attempt ended.
      answer: The last attempt with a response that may be passed on, None
        without one; a 5xx is delivered if no other server answers.
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
    organisation: Organisation | None = None
    search: SlotSearch | None = None
    attempts: int = 0
    refusals: int = 0
    may_have_run: bool = False
    last_result: CallResult | None = None
    answer: CallResult | None = None

    @property
    def organisation_name(self) -> str:
        """Returns the name of the organisation, "" without one."""
        return self.organisation.name if self.organisation else ""

    def compute_call_cost(self) -> int:
        """Returns what the request costs the node beside a server."""
        head_bytes = len(self.request.target) + sum(
            len(name) + len(value) for name, value in self.headers
        )
        return get_call_cost(
            len(self.headers), head_bytes, len(self.request.body)
        )

    def compute_digest(self) -> int:
        """Returns the digest that identifies the request in its retries."""
        request = self.request
        return digest_request(
            request.method,
            request.get_header(b"host") or b"",
            request.target,
            request.body,
        )
