"""Events that the node passes to the `Exchange` of a request.

Events of an attempt carry its number, so that a late event of an earlier
attempt is not mistaken for one of the current attempt. The classes are not
frozen because frozen instances take more than twice as long to create.
"""

import dataclasses

from vanillamast_core.peers import KeyAnswer
from vanillamast_core.requests.server_choice import ServerChoice


@dataclasses.dataclass(slots=True)
class ExchangeEvent:
    """Base of the events."""


@dataclasses.dataclass(slots=True)
class KeyAnswered(ExchangeEvent):
    """The home node answered the claim, or did not answer (None)."""

    answer: KeyAnswer | None


@dataclasses.dataclass(slots=True)
class Admitted(ExchangeEvent):
    """The waiting request got a slot."""

    choice: ServerChoice


@dataclasses.dataclass(slots=True)
class AttemptEvent(ExchangeEvent):
    """Base of the events of one attempt."""

    attempt: int


@dataclasses.dataclass(slots=True)
class Connected(AttemptEvent):
    """The connection to the backend server is established."""


@dataclasses.dataclass(slots=True)
class ConnectFailed(AttemptEvent):
    """Connecting failed; no byte reached the backend server."""


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
    """The whole response body was forwarded."""


@dataclasses.dataclass(slots=True)
class BodyCut(AttemptEvent):
    """The connection failed during the response body."""


@dataclasses.dataclass(slots=True)
class BodyRejected(ExchangeEvent):
    """The caller's request body is over the limit or malformed."""

    kind: str


@dataclasses.dataclass(slots=True)
class TimedOut(ExchangeEvent):
    """`Exchange.timer_at` has passed."""


@dataclasses.dataclass(slots=True)
class CallerGone(ExchangeEvent):
    """The caller closed its connection."""
