"""The result of an attempt at a backend server."""

import dataclasses

from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
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
    """

    outcome: Outcome
    reason: Reason = Reason.NONE
    response: HttpResponse | None = None
    sent_to_server: bool = False
    retry_after_s: float = 0.0
