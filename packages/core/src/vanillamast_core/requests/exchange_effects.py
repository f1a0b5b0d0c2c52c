"""What the node does for a request, as its `Exchange` tells it."""

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
      exchange: Request that the effect belongs to. It may be another one
        than the event's, when a freed slot admits a waiting request.
    """

    exchange: "Exchange"


@dataclasses.dataclass(slots=True)
class Claim(ExchangeEffect):
    """Claim the idempotency key at its home node, then `KeyAnswered`."""


@dataclasses.dataclass(slots=True)
class Settle(ExchangeEffect):
    """Tell the home node how the claimed request ended.

    Attributes:
      status: As in `SettleKey`.
    """

    status: int


@dataclasses.dataclass(slots=True)
class Wait(ExchangeEffect):
    """Wait for `Attempt` or `Refuse`; `TimedOut` at `Exchange.timer_at`."""


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
    """Pass the response of the current attempt on to the caller."""


@dataclasses.dataclass(slots=True)
class Refuse(ExchangeEffect):
    """Answer the caller with a refusal."""

    refusal: Refusal


@dataclasses.dataclass(slots=True)
class CloseConnection(ExchangeEffect):
    """Abort the caller's connection: its response cannot be completed."""


@dataclasses.dataclass(slots=True)
class ReportAttempt(ExchangeEffect):
    """An attempt ended."""

    result: AttemptResult
