"""What a backend server's response says about the request."""

import enum


class ResponseKind(enum.Enum):
    """Kinds of responses.

    Attributes:
      ANSWER: The server has handled the request.
      REFUSAL: The server has not run the request; another one may.
      REJECTION: The server has not run the request, and no server would.
      MISDIRECTED: The request reached another server, which has not run it.
      UNCONFIRMED: The status tells callers that the request has not run, but
        nothing shows that it has not.
      MALFORMED: It is no response of the server.
    """

    ANSWER = "answer"
    REFUSAL = "refusal"
    REJECTION = "rejection"
    MISDIRECTED = "misdirected"
    UNCONFIRMED = "unconfirmed"
    MALFORMED = "malformed"
