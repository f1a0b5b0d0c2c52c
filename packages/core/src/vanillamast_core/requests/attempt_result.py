"""The result of one attempt, as this node observed it."""

import dataclasses
import enum


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"  # The response was complete.
    CONNECT_FAILED = "connect_failed"
    SHED = "shed"  # The server refused to run it.
    # The connection was lost before the response headers.
    DISCONNECTED = "disconnected"
    CUT = "cut"  # Connection lost during the response body.
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"  # The caller disconnected or its body was rejected.


@dataclasses.dataclass(slots=True)
class AttemptResult:
    """One ended attempt.

    Attributes:
      route: Name of the route.
      service: Service that was called.
      server_version: Version of the backend server.
      instance: Backend server instance.
      failure_domain: Failure domain of the backend server.
      connected: Whether a connection to it was established.
      outcome: How the attempt ended.
      status: HTTP status, 0 if there was none.
      latency_s: Time from the start of the attempt to the response
        headers, or to the end of the attempt if there were none.
      cold: Whether the backend server was in slow start.
    """

    route: str
    service: str
    server_version: str
    instance: str
    failure_domain: str
    connected: bool
    outcome: AttemptOutcome
    status: int
    latency_s: float
    cold: bool

    @property
    def failed(self) -> bool:
        """Whether the outcome counts as a failure of the backend server."""
        if self.outcome is AttemptOutcome.ANSWERED:
            return self.status >= 500
        return self.outcome not in (
            AttemptOutcome.SHED,
            AttemptOutcome.CANCELLED,
        )
