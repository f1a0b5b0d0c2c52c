"""What happens to one request, as the node tells its `Exchange`.

Events of an attempt carry its number, so that a late event of an earlier
attempt cannot be taken for one of the current attempt. The classes are not
frozen because that more than doubles the time to make one.
"""

import dataclasses

from vanillamast_core.peers import KeyAnswer
from vanillamast_core.requests.server_choice import ServerChoice


@dataclasses.dataclass(slots=True)
class ExchangeEvent:
    """Base of the events."""


@dataclasses.dataclass(slots=True)
class KeyAnswered(ExchangeEvent):
    """The home node answered the claim; None if it did not answer."""

    answer: KeyAnswer | None


@dataclasses.dataclass(slots=True)
class Admitted(ExchangeEvent):
    """The queue gave the waiting request a slot."""

    choice: ServerChoice


@dataclasses.dataclass(slots=True)
class AttemptEvent(ExchangeEvent):
    """Base of the events of one attempt."""

    attempt: int


@dataclasses.dataclass(slots=True)
class Connected(AttemptEvent):
    """A connection to the backend server exists."""


@dataclasses.dataclass(slots=True)
class ConnectFailed(AttemptEvent):
    """No connection was made; no byte reached the backend server."""


@dataclasses.dataclass(slots=True)
class BytesSent(AttemptEvent):
    """Bytes of the request may have reached the backend server."""


@dataclasses.dataclass(slots=True)
class HeadersReceived(AttemptEvent):
    """The final response header arrived."""

    status: int


@dataclasses.dataclass(slots=True)
class NotRun(AttemptEvent):
    """The backend server states that it did not run the request."""

    status: int = 503


@dataclasses.dataclass(slots=True)
class Disconnected(AttemptEvent):
    """The connection failed before the response header."""


@dataclasses.dataclass(slots=True)
class BodyEnded(AttemptEvent):
    """The whole response body was passed on."""


@dataclasses.dataclass(slots=True)
class BodyCut(AttemptEvent):
    """The connection failed within the response body."""


@dataclasses.dataclass(slots=True)
class BodyRejected(ExchangeEvent):
    """The caller's request body is over the limit or malformed."""

    kind: str


@dataclasses.dataclass(slots=True)
class TimedOut(ExchangeEvent):
    """The time in `Exchange.timer_at` has come."""


@dataclasses.dataclass(slots=True)
class CallerGone(ExchangeEvent):
    """The caller closed its connection."""
