"""What all requests of a node share."""

import asyncio
import dataclasses
from collections.abc import Awaitable, Callable

from vanillamast_core.peers import ClaimKey, KeyAnswer, SettleKey
from vanillamast_core.requests import (
    AttemptResult,
    RequestRouter,
    RoutingDecision,
)

from vanillamast_node.forwarding_settings import ForwardingSettings
from vanillamast_node.upstream_pool import UpstreamPool


def _ignore(seconds: float) -> None:
    return None


@dataclasses.dataclass(slots=True)
class Forwarder:
    """Everything that a `ForwardedCall` uses.

    Attributes:
      settings: Settings of the HTTP path.
      router: Decisions of the request path.
      upstream: Connections to backend servers.
      observe: Takes one observation for each ended attempt.
      decided: Takes one decision for each attempt and each refusal.
      claim: Claims an idempotency key at its home node; raises
        `VanillamastError` or `OSError` if the home node cannot be asked.
      settle: Tells the home node the outcome of a claim.
      measure: Takes, for each answered request, the seconds from its arrival
        to the start of the answer, without its last attempt. Queueing and
        earlier attempts count; the client library's own work does not.
      tasks: Settlements under way.
    """

    settings: ForwardingSettings
    router: RequestRouter
    upstream: UpstreamPool
    observe: Callable[[AttemptResult], None]
    decided: Callable[[RoutingDecision], None]
    claim: Callable[[ClaimKey], Awaitable[KeyAnswer]]
    settle: Callable[[SettleKey], Awaitable[None]]
    measure: Callable[[float], None] = _ignore
    tasks: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)
