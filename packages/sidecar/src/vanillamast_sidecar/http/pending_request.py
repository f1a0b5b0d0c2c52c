"""A request of a caller until its response has been sent."""

import asyncio
import dataclasses

from vanillamast_sidecar.http.http_message import HttpRequest, HttpResponse

# Methods that may run before the responses to earlier requests were sent. A
# request behind a response that closes its connection is sent again, whatever
# its kind, so no other one may have run.
CONCURRENT_METHODS = frozenset(("GET", "HEAD"))


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request whose response has not been sent yet.

    Attributes:
      request: The request; None if it was rejected while it was read.
      rejection: Response to a rejected request.
      arrived_at: When the whole request had arrived, in loop time.
      keep_alive: Whether the connection stays open after it.
      held_bytes: Bytes of the body budget that its body takes.
      charged: What it and its response cost, of the memory account.
      task: Runs the request; None before it has started.
    """

    request: HttpRequest | None
    rejection: HttpResponse | None
    arrived_at: float
    keep_alive: bool
    held_bytes: int = 0
    charged: int = 0
    task: asyncio.Task[HttpResponse] | None = None

    @property
    def may_overtake(self) -> bool:
        """Returns whether it may run while earlier requests still run."""
        request = self.request
        return request is not None and request.method in CONCURRENT_METHODS
