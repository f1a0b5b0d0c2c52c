"""Names of the header fields that the deployment's platform defines."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class FieldNames:
    """Header fields, in lower case, by what they hold.

    Attributes:
      request_id: Id of one attempt of a caller.
      deadline_ms: Milliseconds that the sender will wait.
      expected_instance: Id of the only server that may run the request.
      caller: Service on the machine where the request began.
      signature: Server's proof that an answer is its own.
      not_executed: Says that the server did not run the request.
    """

    request_id: bytes
    deadline_ms: bytes
    expected_instance: bytes
    caller: bytes
    signature: bytes
    not_executed: bytes
