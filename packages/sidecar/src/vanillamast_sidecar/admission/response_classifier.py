"""Decides what a backend server's response says about the request."""

from vanillamast_sidecar.admission.response_kind import ResponseKind
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.http.http_message import HttpResponse

MISDIRECTED_REQUEST = 421
# To callers, these statuses say that the request has not run and never will:
# they repeat it even if it must not run twice.
NOT_RUN_STATUSES = frozenset((408, MISDIRECTED_REQUEST, 429, 503))
FIRST_ERROR_STATUS = 400
FIRST_SERVER_ERROR_STATUS = 500


def classify_response(
    response: HttpResponse, fields: FieldNames
) -> ResponseKind:
    """Returns what a response says about the request.

    Only the server knows whether a request that it got has run, and it says
    so with a field of its own. Its status alone does not: applications use the
    same ones for failures of requests that they have run.

    Args:
      response: Response to a request that was sent to a server.
      fields: Names of the deployment's header fields.
    """
    status = response.status
    signed = response.get_header(fields.signature) is not None
    if response.get_header(fields.not_executed) is not None:
        if status < FIRST_ERROR_STATUS:
            return ResponseKind.MALFORMED
        if status == MISDIRECTED_REQUEST:
            return ResponseKind.MISDIRECTED
        if status in NOT_RUN_STATUSES or status >= FIRST_SERVER_ERROR_STATUS:
            return ResponseKind.REFUSAL
        return ResponseKind.REJECTION
    if status == MISDIRECTED_REQUEST and not signed:
        return ResponseKind.MISDIRECTED
    if response.get_header(b"content-encoding") is not None:
        return ResponseKind.MALFORMED
    if not signed and status < FIRST_ERROR_STATUS:
        return ResponseKind.MALFORMED
    if status in NOT_RUN_STATUSES:
        return ResponseKind.UNCONFIRMED
    return ResponseKind.ANSWER
