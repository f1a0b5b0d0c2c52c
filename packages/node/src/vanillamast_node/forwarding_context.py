"""Settings, connections and callbacks shared by all forwarded requests."""

import asyncio
import dataclasses
import math
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
class ForwardingContext:
    """Dependencies of a `ForwardedCall`, shared by all calls of a node.

    Attributes:
      settings: Settings of the HTTP path.
      router: Decisions of the request path.
      upstream: Connections to backend servers.
      record_attempt: Called with the result of each ended attempt.
      record_decision: Called with the decision for each attempt and each
        refusal.
      claim_key: Claims an idempotency key at its home node; raises
        `VanillamastError` or `OSError` if the home node cannot be reached.
      settle_key: Sends the outcome of a claim to the home node.
      record_added_time: Called for each answered request with the seconds
        from its arrival to the start of the response, without its last
        attempt. Queueing and earlier attempts count; the client library's
        own work does not.
      last_deadline: Latest deadline of a request that is accepted, in
        monotonic time; earlier than the exit of a stopping node.
      settlement_tasks: Running tasks that send settlements.
    """

    settings: ForwardingSettings
    router: RequestRouter
    upstream: UpstreamPool
    record_attempt: Callable[[AttemptResult], None]
    record_decision: Callable[[RoutingDecision], None]
    claim_key: Callable[[ClaimKey], Awaitable[KeyAnswer]]
    settle_key: Callable[[SettleKey], Awaitable[None]]
    record_added_time: Callable[[float], None] = _ignore
    last_deadline: float = math.inf
    settlement_tasks: set[asyncio.Task[None]] = dataclasses.field(
        default_factory=set
    )
