"""The request path of a node in the in-memory network."""

import hashlib
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from vanillamast_core.control import (
    AttemptEnded,
    ClearSplit,
    DropService,
    KeyService,
    SetRoutes,
    SetServers,
    SetSplit,
)
from vanillamast_core.moves import VersionSplit
from vanillamast_core.peers import ClaimKey, KeyAnswer, SettleKey
from vanillamast_core.requests import (
    Attempt,
    BodyCut,
    BodyEnded,
    BytesSent,
    Claim,
    CloseConnection,
    Connected,
    ConnectFailed,
    Disconnected,
    ExchangeEffect,
    ExchangeEvent,
    HeadersReceived,
    KeyAnswered,
    NotRun,
    Refusal,
    Refuse,
    ReportAttempt,
    RequestInputs,
    RequestRouter,
    RequestSettings,
    Settle,
    TimedOut,
)

from vanillamast_testing.core_adapter import WALL_START_S, CoreAdapter
from vanillamast_testing.request_record import RequestRecord
from vanillamast_testing.simulated_backend import BackendAnswer, BackendRequest
from vanillamast_testing.simulated_call import CallResult, SimulatedCall

if TYPE_CHECKING:
    from vanillamast_testing.scenario_network import ScenarioNetwork

CONNECT_TIMEOUT_S = 0.5  # `ForwardingSettings.connect_timeout_s`.
KEY_CALL_TIMEOUT_S = 1.0  # As in the node's peer transport.
KEY_REFRESH_S = 1.0
BODY_DURATION_S = 0.001
MIN_TIMER_S = 1e-4  # A rounded timer must not repeat at the same moment.
DEADLINE_MS = 2000


class CoreRequestPath:
    """Executes the effects of the real state machine of requests.

    Attributes:
      network: The network.
      name: Its node.
      generation: Generation of the node's process; this path ends with it.
      adapter: The node's control plane.
      router: Decisions of the request path.
      keys: Claims of idempotency keys.
      calls: Requests in flight.
    """

    def __init__(
        self, network: "ScenarioNetwork", name: str, adapter: CoreAdapter
    ):
        self.network = network
        self.name = name
        self.adapter = adapter
        self.generation = network.nodes[name].generation
        domain = network.nodes[name].announcement.failure_domain
        settings = RequestSettings()
        rng = random.Random(network.rng.getrandbits(64))
        self.router = RequestRouter(settings, domain, rng, VersionSplit)
        core = adapter.core
        self.keys = KeyService(core.mesh, core.mesh.own, settings)
        self.calls: set[SimulatedCall] = set()
        self._refresh_keys()

    def apply_effect(self, effect: Any) -> None:
        """Applies an effect of the control plane."""
        router, now = self.router, self.network.now
        if isinstance(effect, SetRoutes):
            router.set_routes(effect.routes, effect.classes, effect.services)
        elif isinstance(effect, SetServers):
            servers = list(effect.servers)
            wall = WALL_START_S + now
            effects = router.set_servers(
                effect.service, servers, effect.panic, now, wall
            )
            self._execute_effects(effects)
        elif isinstance(effect, DropService):
            router.pools.pop(effect.service, None)
        elif isinstance(effect, SetSplit):
            router.set_split(
                effect.service, effect.old, effect.new, effect.share
            )
        elif isinstance(effect, ClearSplit):
            router.clear_split(effect.service)

    def handle_request(
        self, record: RequestRecord, done: Callable[[CallResult], None]
    ) -> None:
        """Handles a caller's request; calls `done` once with its result."""
        inputs = RequestInputs(DEADLINE_MS, key=record.key)
        now = self.network.now
        found = self.router.route(record.method, record.path, inputs, now)
        if isinstance(found, Refusal):
            done(CallResult(refusal=found))
            return
        call = SimulatedCall(record.request_id, record.path, found, done)
        found.owner = call
        self.calls.add(call)
        self._execute_effects(self.router.start(found, now))
        self._start_timer(call)

    def call_later(self, delay: float, action: Callable[[], None]) -> None:
        """Schedules an action of this process."""
        self.network.call_later(delay, lambda: self.run_in_process(action))

    def run_in_process(self, action: Callable[[], None]) -> None:
        """Runs an action in the process, after a pause if it is paused.

        Does nothing if the process has ended.
        """
        node = self.network.nodes[self.name]
        if node.generation != self.generation:
            return
        if node.paused:
            node.deferred.append(lambda: self.run_in_process(action))
        else:
            action()

    def _handle_event(self, call: SimulatedCall, event: ExchangeEvent) -> None:
        now = self.network.now
        self._execute_effects(self.router.handle(call.exchange, event, now))

    def _execute_effects(self, effects: list[ExchangeEffect]) -> None:
        for effect in effects:
            call: SimulatedCall = effect.exchange.owner
            if isinstance(effect, Attempt):
                self._attempt(call, effect)
            elif isinstance(effect, Claim):
                self._claim(call)
            elif isinstance(effect, Settle):
                self._settle(call, effect.status)
            elif isinstance(effect, Refuse):
                self._finish(call, CallResult(refusal=effect.refusal))
            elif isinstance(effect, CloseConnection):
                self._finish(call, CallResult(answer=call.answer))
            elif isinstance(effect, ReportAttempt):
                self._report_attempt(AttemptEnded(effect.result))

    def _report_attempt(self, event: AttemptEnded) -> None:
        self.network.call(
            self.name,
            lambda core, now: core.handle(event, now),  # type: ignore[attr-defined]
        )

    def _finish(self, call: SimulatedCall, result: CallResult) -> None:
        self.calls.discard(call)
        call.done(result)

    def _start_timer(self, call: SimulatedCall) -> None:
        wait = call.exchange.timer_at - self.network.now
        self.call_later(max(MIN_TIMER_S, wait), lambda: self._on_timer(call))

    def _on_timer(self, call: SimulatedCall) -> None:
        if call.exchange.ended:
            return
        if self.network.now >= call.exchange.timer_at:
            self._handle_event(call, TimedOut())
        if not call.exchange.ended:
            self._start_timer(call)

    # Attempts.

    def _attempt(self, call: SimulatedCall, attempt: Attempt) -> None:
        number = attempt.number
        instance = attempt.server.announcement.instance
        round_trip = 2 * self.network.delay_s(self.name, instance)
        failed = ConnectFailed(number)
        if not self.network.reachable(self.name, instance):
            self.call_later(
                CONNECT_TIMEOUT_S, lambda: self._handle_event(call, failed)
            )
        elif not self.network.servers[instance].running:
            self.call_later(
                round_trip, lambda: self._handle_event(call, failed)
            )
        else:
            self.call_later(
                round_trip, lambda: self._send(call, number, instance)
            )

    def _send(self, call: SimulatedCall, number: int, instance: str) -> None:
        if call.exchange.attempts != number or call.exchange.ended:
            return
        self._handle_event(call, Connected(number))
        self._handle_event(call, BytesSent(number))
        request = BackendRequest(
            call.request_id,
            call.path,
            lambda answer: self._send_answer(call, number, instance, answer),
        )
        backend = self.network.backends[instance]
        generation = backend.generation
        self.network.transmit(
            self.name,
            instance,
            lambda: self._deliver_request(
                call, number, instance, request, generation
            ),
        )

    def _deliver_request(
        self,
        call: SimulatedCall,
        number: int,
        instance: str,
        request: BackendRequest,
        generation: int,
    ) -> None:
        backend = self.network.backends[instance]
        if backend.generation == generation:
            backend.receive(request)
        elif self.network.nodes[instance].reachable:
            lost = Disconnected(number)
            self.run_in_process(lambda: self._handle_event(call, lost))

    def _send_answer(
        self,
        call: SimulatedCall,
        number: int,
        instance: str,
        answer: BackendAnswer,
    ) -> None:
        self.network.transmit(
            instance,
            self.name,
            lambda: self.run_in_process(
                lambda: self._receive_answer(call, number, answer)
            ),
        )

    def _receive_answer(
        self, call: SimulatedCall, number: int, answer: BackendAnswer
    ) -> None:
        if call.exchange.attempts != number or call.exchange.ended:
            return
        if answer.not_run:
            self._handle_event(call, NotRun(number, answer.status))
            return
        call.answer = answer
        self._handle_event(call, HeadersReceived(number, answer.status))
        if call.exchange.attempts != number:
            call.answer = None
            return
        self.call_later(
            BODY_DURATION_S, lambda: self._end_body(call, number, answer)
        )

    def _end_body(
        self, call: SimulatedCall, number: int, answer: BackendAnswer
    ) -> None:
        if call.exchange.ended:
            return
        if answer.cut:
            self._handle_event(call, BodyCut(number))
            return
        self._handle_event(call, BodyEnded(number))
        self._finish(call, CallResult(answer=answer, whole=True))

    # Keys.

    def _refresh_keys(self) -> None:
        self.keys.refresh(self.network.now)
        self.call_later(KEY_REFRESH_S, self._refresh_keys)

    def _claim(self, call: SimulatedCall) -> None:
        exchange = call.exchange
        call.claim_id = f"{self.router.rng.getrandbits(128):032x}"
        subject = f"{exchange.method} {call.path}".encode()
        claim = ClaimKey(
            exchange.pool.service,
            exchange.inputs.key,
            call.claim_id,
            hashlib.blake2b(subject, digest_size=8).digest(),
        )
        home = self.keys.find_home_node(claim.service, claim.key)

        def answered(answer: KeyAnswer | None) -> None:
            self.run_in_process(
                lambda: self._handle_event(call, KeyAnswered(answer))
            )

        def ask(path: "CoreRequestPath") -> None:
            now = self.network.now
            answer = path.keys.claim(claim, now, WALL_START_S + now)
            self.network.transmit(home, self.name, lambda: answered(answer))

        self.network.call_node(self.name, home, ask)
        self.call_later(KEY_CALL_TIMEOUT_S, lambda: answered(None))

    def _settle(self, call: SimulatedCall, status: int) -> None:
        exchange = call.exchange
        settle = SettleKey(
            exchange.pool.service, exchange.inputs.key, call.claim_id, status
        )
        home = self.keys.find_home_node(settle.service, settle.key)
        self.network.call_node(
            self.name,
            home,
            lambda path: path.keys.settle(settle, self.network.now),
        )
