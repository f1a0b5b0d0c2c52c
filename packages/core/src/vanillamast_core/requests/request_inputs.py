"""Values from a request's header that routing needs."""

import dataclasses


@dataclasses.dataclass(slots=True)
class RequestInputs:
    """Values from the header fields of a request.

    Attributes:
      deadline_ms: Time until the caller's deadline, None if it sent none.
      attempt: Number of the caller's attempt; above 1 for a retry.
      key: Idempotency key, "" if there is none.
    """

    deadline_ms: float | None = None
    attempt: int = 1
    key: str = ""
