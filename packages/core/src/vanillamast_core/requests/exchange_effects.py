"""Effects that an `Exchange` requests from the node."""

import dataclasses
from typing import TYPE_CHECKING

from vanillamast_core.requests.attempt_result import AttemptResult
from vanillamast_core.requests.refusal import Refusal
from vanillamast_core.requests.routing_decision import RoutingDecision
from vanillamast_core.requests.server_view import ServerView

if TYPE_CHECKING:
    from vanillamast_core.requests.exchange import Exchange


@dataclasses.dataclass(slots=True)
class ExchangeEffect:
    """Base of the effects.

    Attributes:
      exchange: Request that the effect belongs to. It differs from the
        request of the event if a freed slot admits a waiting request.
    """

    exchange: "Exchange"


@dataclasses.dataclass(slots=True)
class Claim(ExchangeEffect):
    """Claim the idempotency key at its home node; `KeyAnswered` follows."""


@dataclasses.dataclass(slots=True)
class Settle(ExchangeEffect):
    """Report the outcome of the claimed request to the home node.

    Attributes:
      status: As in `SettleKey`.
    """

    status: int


@dataclasses.dataclass(slots=True)
class Wait(ExchangeEffect):
    """Wait for `Attempt` or `Refuse`; send `TimedOut` at `timer_at`."""


@dataclasses.dataclass(slots=True)
class Attempt(ExchangeEffect):
    """Send the request to a backend server."""

    server: ServerView
    number: int
    decision: RoutingDecision


@dataclasses.dataclass(slots=True)
class Cancel(ExchangeEffect):
    """Close the connection of an attempt."""

    number: int


@dataclasses.dataclass(slots=True)
class Answer(ExchangeEffect):
    """Forward the response of the current attempt to the caller."""


@dataclasses.dataclass(slots=True)
class Refuse(ExchangeEffect):
    """Send the caller a refusal."""

    refusal: Refusal


@dataclasses.dataclass(slots=True)
class CloseConnection(ExchangeEffect):
    """Abort the caller's connection: its response cannot be completed."""


@dataclasses.dataclass(slots=True)
class ReportAttempt(ExchangeEffect):
    """Report the result of an ended attempt."""

    result: AttemptResult
