"""State machine of one request."""

import dataclasses
import enum
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, ClassVar

from vanillamast_core.configuration import Route
from vanillamast_core.peers import KeyState
from vanillamast_core.requests import exchange_events as events
from vanillamast_core.requests.attempt_result import (
    AttemptOutcome,
    AttemptResult,
)
from vanillamast_core.requests.deadline import Deadline
from vanillamast_core.requests.exchange_effects import (
    Answer,
    Attempt,
    Cancel,
    Claim,
    CloseConnection,
    ExchangeEffect,
    Refuse,
    ReportAttempt,
    Settle,
    Wait,
)
from vanillamast_core.requests.refusal import Refusal, make_refusal
from vanillamast_core.requests.request_inputs import RequestInputs
from vanillamast_core.requests.routing_decision import RoutingDecision
from vanillamast_core.requests.server_choice import ServerChoice
from vanillamast_core.requests.server_view import ServerView

if TYPE_CHECKING:
    from vanillamast_core.requests.service_pool import ServicePool

# Values of `SettleKey.status` that are not an HTTP status.
SETTLED_NOT_RUN = 0
SETTLED_UNCLEAR = -1  # It is not known whether the request ran.
RETRYABLE_STATUSES = frozenset({502, 503, 504})

_KEY_REFUSALS = {
    KeyState.RUNNING: "key_running",
    KeyState.RAN: "key_ran",
    KeyState.UNCLEAR: "key_unclear",
}


class Phase(enum.Enum):
    """Phase of a request."""

    NEW = enum.auto()
    CLAIMING = enum.auto()  # Its key is being claimed.
    WAITING = enum.auto()  # In the admission queue.
    CONNECTING = enum.auto()  # No byte of the attempt has been sent.
    SENT = enum.auto()  # Bytes may have reached the backend server.
    ANSWERING = enum.auto()  # The response is being forwarded.
    ENDED = enum.auto()


@dataclasses.dataclass(slots=True, eq=False)
class Exchange:
    """One request of a caller, with all its attempts.

    Every event goes through `RequestRouter.handle`, which also admits waiting
    requests when a slot becomes free.

    Attributes:
      pool: Backend servers of the service.
      route_name: Name of the route.
      route: The route, as configured when the request arrived.
      method: HTTP method.
      inputs: Values from the request's header.
      deadline: Time by which the exchange ends.
      idempotent: Whether the request may be repeated after it may have run.
      replayable: Whether the body can be sent again; the node sets it to
        False when it drops bytes that it has sent.
      owner: The node's object for the request; not used here.
      phase: Current phase.
      timer_at: Monotonic time, in seconds, at which `TimedOut` is due.
      attempts: Number of the current attempt.
      server: Backend server of the current attempt.
      tried_servers: Backend servers of ended attempts.
      started_at: Monotonic time, in seconds, when the current attempt began.
      headers_at: Monotonic time, in seconds, when its response header arrived;
        0 before.
      status: HTTP status of the current attempt's response, 0 before.
      connected: Whether the current attempt connected.
      may_have_run: Whether a backend server may have run the request.
      holds_claim: Whether the claim of its key must be settled: it was or may
        have been granted.
    """

    pool: "ServicePool"
    route_name: str
    route: Route
    method: str
    inputs: RequestInputs
    deadline: Deadline
    idempotent: bool
    replayable: bool = True
    owner: Any = None
    phase: Phase = Phase.NEW
    timer_at: float = 0.0
    attempts: int = 0
    server: ServerView | None = None
    tried_servers: list[ServerView] = dataclasses.field(default_factory=list)
    started_at: float = 0.0
    headers_at: float = 0.0
    status: int = 0
    connected: bool = False
    may_have_run: bool = False
    holds_claim: bool = False

    handlers: ClassVar[dict[type, Callable[..., list[ExchangeEffect]]]] = {}

    @property
    def ended(self) -> bool:
        """Whether the request has ended; further events are ignored."""
        return self.phase is Phase.ENDED

    def start(self, now: float) -> list[ExchangeEffect]:
        """Starts the request.

        Args:
          now: Monotonic time in seconds.
        """
        self.timer_at = self.deadline.at
        if self.deadline.expired(now):
            return self._refuse("deadline_exceeded", now)
        if self.inputs.key and not self.idempotent:
            self.phase = Phase.CLAIMING
            return [Claim(self)]
        return self._admit_or_queue(now)

    def handle(
        self, event: events.ExchangeEvent, now: float
    ) -> list[ExchangeEffect]:
        """Handles an event.

        Args:
          event: The event; ignored if it belongs to an earlier attempt or the
            request has ended.
          now: Monotonic time in seconds.

        Returns:
          Effects for the node to carry out.
        """
        if self.phase is Phase.ENDED:
            return []
        if isinstance(event, events.AttemptEvent):
            in_attempt = self.phase in _ATTEMPT_PHASES
            if event.attempt != self.attempts or not in_attempt:
                return []
        return self.handlers[type(event)](self, event, now)

    # Admission.

    def _admit_or_queue(self, now: float) -> list[ExchangeEffect]:
        if self.deadline.expired(now):
            return self._refuse("deadline_exceeded", now)
        refused = self.pool.refusal_before_start(self, now)
        if refused:
            return self._refuse(refused, now)
        choice = self.pool.admit(self, now)
        if choice is not None:
            return self._start_attempt(choice, now)
        if not self.pool.enqueue(self, now):
            return self._refuse("overloaded", now)
        self.phase = Phase.WAITING
        return [Wait(self)]

    def handle_key_answered(
        self, event: events.KeyAnswered, now: float
    ) -> list[ExchangeEffect]:
        """Admits the request if the claim was granted, else refuses it."""
        if self.phase is not Phase.CLAIMING:
            return []
        if event.answer is None:
            # The home node may have granted the claim. Settling it as not run
            # releases the key.
            self.holds_claim = True
            return self._refuse("key_unclear", now)
        if event.answer.state is KeyState.GRANTED:
            self.holds_claim = True
            return self._admit_or_queue(now)
        detail = ""
        if event.answer.state is KeyState.RAN:
            detail = f"the request ran with status {event.answer.status}"
        return self._refuse(_KEY_REFUSALS[event.answer.state], now, detail)

    def handle_admitted(
        self, event: events.Admitted, now: float
    ) -> list[ExchangeEffect]:
        """Starts the first attempt after waiting."""
        return self._start_attempt(event.choice, now)

    def _start_attempt(
        self, choice: ServerChoice, now: float, reason: str = ""
    ) -> list[ExchangeEffect]:
        server = choice.server
        server.acquire(self.route.caller_class)
        self.attempts += 1
        self.server = server
        self.started_at = now
        self.headers_at = 0.0
        self.status = 0
        self.connected = False
        self.phase = Phase.CONNECTING
        self.timer_at = self._attempt_timer_at(now)
        if self.attempts == 1:
            self.pool.retry_budget.record_first_attempt(now)
        announcement = server.announcement
        decision = RoutingDecision(
            self.route_name,
            self.pool.service,
            announcement.server_version,
            announcement.instance,
            announcement.server_address,
            choice.candidates,
            self.pool.settings.policy,
            self.attempts,
            reason or choice.reason,
        )
        return [Attempt(self, server, self.attempts, decision)]

    def _attempt_timer_at(self, now: float) -> float:
        if not self.idempotent or not self._has_attempts_left():
            return self.deadline.at
        share = self.pool.settings.attempt_share
        return now + self.deadline.remaining_s(now) * share

    # Events of an attempt.

    def handle_connected(
        self, event: events.Connected, now: float
    ) -> list[ExchangeEffect]:
        """Records that the backend server accepted the connection."""
        self.connected = True
        return []

    def handle_bytes_sent(
        self, event: events.BytesSent, now: float
    ) -> list[ExchangeEffect]:
        """Records that the backend server may run the request from now on."""
        self.connected = True
        self.phase = Phase.SENT
        return []

    def handle_connect_failed(
        self, event: events.ConnectFailed, now: float
    ) -> list[ExchangeEffect]:
        """Retries or refuses: the backend server received no byte."""
        if self.phase is not Phase.CONNECTING:
            return self.handle_disconnected(event, now)
        self.connected = False
        effects = self._end_attempt(AttemptOutcome.CONNECT_FAILED, now)
        return effects + self._retry_or_refuse("connect_failed", now)

    def handle_disconnected(
        self, event: events.AttemptEvent, now: float
    ) -> list[ExchangeEffect]:
        """Aborts a started response, else retries the request if safe."""
        if self.phase is Phase.ANSWERING:
            return self._abort_response(AttemptOutcome.CUT, now)
        if self.phase is Phase.SENT:
            self.may_have_run = True
        effects = self._end_attempt(AttemptOutcome.DISCONNECTED, now)
        return effects + self._retry_or_refuse("connect_failed", now)

    def handle_not_run(
        self, event: events.NotRun, now: float
    ) -> list[ExchangeEffect]:
        """Retries or refuses: the backend server did not run the request."""
        if self.phase is Phase.ANSWERING:
            return []
        self.connected = True
        self.status = event.status
        effects = self._end_attempt(AttemptOutcome.SHED, now)
        return effects + self._retry_or_refuse("shed", now)

    def handle_headers_received(
        self, event: events.HeadersReceived, now: float
    ) -> list[ExchangeEffect]:
        """Forwards the response, or retries an idempotent request."""
        if self.phase is Phase.ANSWERING:
            return []
        self.connected = True
        self.may_have_run = True
        self.status = event.status
        self.headers_at = now
        if event.status in RETRYABLE_STATUSES and self.idempotent:
            choice = self._retry_choice(now)
            if choice is not None:
                effects: list[ExchangeEffect] = [Cancel(self, self.attempts)]
                effects += self._end_attempt(AttemptOutcome.ANSWERED, now)
                return effects + self._start_attempt(choice, now, "retry")
        self.phase = Phase.ANSWERING
        self.timer_at = self.deadline.at
        return [*self._settle_claim(event.status), Answer(self)]

    def handle_body_ended(
        self, event: events.BodyEnded, now: float
    ) -> list[ExchangeEffect]:
        """Ends the exchange."""
        if self.phase is not Phase.ANSWERING:
            return []
        effects = self._end_attempt(AttemptOutcome.ANSWERED, now)
        self.phase = Phase.ENDED
        return effects

    def handle_body_cut(
        self, event: events.BodyCut, now: float
    ) -> list[ExchangeEffect]:
        """Aborts the response, or retries a request without one."""
        return self.handle_disconnected(event, now)

    # Events of the caller and the timer.

    def handle_body_rejected(
        self, event: events.BodyRejected, now: float
    ) -> list[ExchangeEffect]:
        """Refuses a request whose body is too large or malformed."""
        effects = self._cancel_attempt(AttemptOutcome.CANCELLED, now)
        if self.phase is Phase.ANSWERING:
            self.phase = Phase.ENDED
            return [*effects, CloseConnection(self)]
        return effects + self._refuse(event.kind, now)

    def handle_caller_gone(
        self, event: events.CallerGone, now: float
    ) -> list[ExchangeEffect]:
        """Cancels the attempt and ends the request without a response."""
        effects = self._cancel_attempt(AttemptOutcome.CANCELLED, now)
        if self.phase is Phase.WAITING:
            self.pool.dequeue(self)
        elif self.phase is Phase.CLAIMING:
            self.holds_claim = True  # The claim may be granted meanwhile.
        self.phase = Phase.ENDED
        return effects + self._settle_claim_unanswered()

    def handle_timed_out(
        self, event: events.TimedOut, now: float
    ) -> list[ExchangeEffect]:
        """Retries, refuses or aborts the request, depending on its phase."""
        if now < self.timer_at:
            return []
        if self.phase is Phase.CLAIMING:
            self.holds_claim = True
            return self._refuse("deadline_exceeded", now)
        if self.phase is Phase.WAITING:
            self.pool.dequeue(self)
            expired = self.deadline.expired(now)
            kind = "deadline_exceeded" if expired else "queue_timeout"
            return self._refuse(kind, now)
        if self.phase is Phase.ANSWERING:
            return self._abort_response(AttemptOutcome.TIMED_OUT, now)
        if not self.deadline.expired(now):
            return self._retry_slow_attempt(now)
        effects = self._cancel_attempt(AttemptOutcome.TIMED_OUT, now)
        return effects + self._refuse("deadline_exceeded", now)

    def _retry_slow_attempt(self, now: float) -> list[ExchangeEffect]:
        choice = self._retry_choice(now)
        if choice is None:
            self.timer_at = self.deadline.at
            return []
        effects = self._cancel_attempt(AttemptOutcome.TIMED_OUT, now)
        return effects + self._start_attempt(choice, now, "retry")

    # End of an attempt or of the request.

    def _cancel_attempt(
        self, outcome: AttemptOutcome, now: float
    ) -> list[ExchangeEffect]:
        """Cancels the running attempt, if any; its request may have run."""
        if self.phase not in _ATTEMPT_PHASES:
            return []
        if self.phase is not Phase.CONNECTING:
            self.may_have_run = True
        effects: list[ExchangeEffect] = [Cancel(self, self.attempts)]
        return effects + self._end_attempt(outcome, now)

    def _abort_response(
        self, outcome: AttemptOutcome, now: float
    ) -> list[ExchangeEffect]:
        effects = self._cancel_attempt(outcome, now)
        self.phase = Phase.ENDED
        return [*effects, CloseConnection(self)]

    def _end_attempt(
        self, outcome: AttemptOutcome, now: float
    ) -> list[ExchangeEffect]:
        server = self.server
        assert server is not None
        self.tried_servers.append(server)
        self.server = None
        until = self.headers_at or now
        announcement = server.announcement
        result = AttemptResult(
            self.route_name,
            self.pool.service,
            announcement.server_version,
            announcement.instance,
            announcement.failure_domain,
            self.connected,
            outcome,
            self.status,
            until - self.started_at,
            server.is_cold(self.started_at),
        )
        self.pool.release_slot(
            server, self.route.caller_class, result, now - self.started_at
        )
        self.pool.record_result(server, result, now)
        return [ReportAttempt(self, result)]

    def _has_attempts_left(self) -> bool:
        return (
            self.inputs.attempt <= 1
            and self.attempts < self.pool.settings.max_attempts
        )

    def _retry_choice(self, now: float) -> ServerChoice | None:
        """Returns a server if a retry is safe and within the limits."""
        safe = self.idempotent or not self.may_have_run
        if not safe or not self.replayable or not self._has_attempts_left():
            return None
        if self.deadline.expired(now):
            return None
        return self.pool.choose_for_retry(self, now)

    def _retry_or_refuse(self, kind: str, now: float) -> list[ExchangeEffect]:
        choice = self._retry_choice(now)
        if choice is not None:
            return self._start_attempt(choice, now, "retry")
        return self._refuse(kind, now)

    def _refuse(
        self, kind: str, now: float, detail: str = ""
    ) -> list[ExchangeEffect]:
        refusal = make_refusal(kind, detail)
        if self.may_have_run and refusal.not_run:
            refusal = _to_unclear_refusal(refusal)
        self.phase = Phase.ENDED
        return [*self._settle_claim_unanswered(), Refuse(self, refusal)]

    def _settle_claim_unanswered(self) -> list[ExchangeEffect]:
        ran = self.may_have_run
        return self._settle_claim(SETTLED_UNCLEAR if ran else SETTLED_NOT_RUN)

    def _settle_claim(self, status: int) -> list[ExchangeEffect]:
        if not self.holds_claim:
            return []
        self.holds_claim = False
        return [Settle(self, status)]


def _to_unclear_refusal(refusal: Refusal) -> Refusal:
    """Returns the refusal of a request that may have run."""
    if refusal.status < 500:
        return dataclasses.replace(refusal, not_run=False)
    status = 504 if refusal.kind == "deadline_exceeded" else 502
    return make_refusal("outcome_unclear", status=status)


_ATTEMPT_PHASES = frozenset({Phase.CONNECTING, Phase.SENT, Phase.ANSWERING})

Exchange.handlers.update(
    {
        events.KeyAnswered: Exchange.handle_key_answered,
        events.Admitted: Exchange.handle_admitted,
        events.Connected: Exchange.handle_connected,
        events.ConnectFailed: Exchange.handle_connect_failed,
        events.BytesSent: Exchange.handle_bytes_sent,
        events.HeadersReceived: Exchange.handle_headers_received,
        events.NotRun: Exchange.handle_not_run,
        events.Disconnected: Exchange.handle_disconnected,
        events.BodyEnded: Exchange.handle_body_ended,
        events.BodyCut: Exchange.handle_body_cut,
        events.BodyRejected: Exchange.handle_body_rejected,
        events.TimedOut: Exchange.handle_timed_out,
        events.CallerGone: Exchange.handle_caller_gone,
    }
)
