"""What routing needs to know of a request's header."""

import dataclasses


@dataclasses.dataclass(slots=True)
class RequestInputs:
    """Values taken from the fields of a request.

    Attributes:
      deadline_ms: Time that the caller has left, None if not stated.
      attempt: Number of the caller's attempt; above 1 it is a retry.
      key: Idempotency key, "" if there is none.
    """

    deadline_ms: float | None = None
    attempt: int = 1
    key: str = ""
