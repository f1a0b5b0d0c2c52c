"""The result of an attempt at a backend server."""

import dataclasses

from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.admission.response_classifier import (
    FIRST_SERVER_ERROR_STATUS,
)
from vanillamast_sidecar.admission.response_kind import ResponseKind
from vanillamast_sidecar.http.http_message import HttpResponse


@dataclasses.dataclass(slots=True)
class CallResult:
    """How an attempt ended.

    Attributes:
      outcome: Whether the server answered, did not run the request, or may
        have run it.
      reason: Why the server did not answer.
      response: The server's response, if there is one.
      sent_to_server: Whether the request was sent to the server.
      retry_after_s: Time until a slot is expected, in seconds; 0 if unknown.
      kind: What the response says; None without one.
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    response: HttpResponse | None = None
    sent_to_server: bool = False
    retry_after_s: float = 0.0
    kind: ResponseKind | None = None

    @property
    def is_failure(self) -> bool:
        """Returns whether the server failed to handle the request."""
        if self.kind is ResponseKind.REJECTION:
            return False
        return not self.is_success

    @property
    def is_success(self) -> bool:
        """Returns whether the server has handled the request."""
        return (
            self.kind is ResponseKind.ANSWER
            and self.response is not None
            and self.response.status < FIRST_SERVER_ERROR_STATUS
        )
