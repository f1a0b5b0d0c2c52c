"""Names of the header fields that the deployment's platform defines."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class FieldNames:
    """Names of header fields, in lower case.

    Attributes:
      request_id: Id of a caller's attempt.
      deadline_ms: How long the sender waits, in milliseconds.
      expected_instance: Id of the only server that may run the request.
      caller: Service of the instance from which the request came.
      signature: Proof that the response comes from the server.
      not_executed: Present if the server did not run the request.
      rate_limit: Requests a second that the server accepts from all nodes
        together, while its responses have the field.
      leaving: `1` if the server is about to leave.
      organisation: Organisation to which the caller's key belongs.
      server_load: Load of the server, in its responses.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_instance: bytes
    caller: bytes
    signature: bytes
    not_executed: bytes
    rate_limit: bytes
    leaving: bytes
    organisation: bytes = b""
    server_load: bytes = b""
