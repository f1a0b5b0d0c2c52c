"""Stateful fuzzing of the request path against a simple oracle."""

import dataclasses
import random
from collections.abc import Callable

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from vanillamast_core import Announcement, ServerState
from vanillamast_core.configuration import CallerClass, Route, Service
from vanillamast_core.peers import KeyAnswer, KeyState
from vanillamast_core.requests import (
    Answer,
    Attempt,
    BodyCut,
    BodyEnded,
    BodyRejected,
    BytesSent,
    CallerGone,
    Cancel,
    Claim,
    CloseConnection,
    ConnectFailed,
    Disconnected,
    Exchange,
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
    ServerView,
    Settle,
    TimedOut,
    Wait,
    balancing_policies,
)

START = 1000.0
STEPS_S = (0.001, 0.001, 0.02, 0.05, 0.05, 0.1, 0.3, 2.0)
DEADLINES_MS = (None, None, None, None, 0.0, 100.0, 800.0, 5000.0)
SETTINGS = RequestSettings(retry_burst=1.0)
CLASSES = {
    "interactive": CallerClass(queue_limit=3),
    "background": CallerClass(priority=5, max_share=0.5, queue_limit=2),
}
ROUTES = {
    "pages": Route("/", "pages", methods=("GET",), timeout_ms=1000),
    "posts": Route("/", "pages", methods=("POST",), timeout_ms=1000),
    "audit": Route(
        "/audit", "pages", caller_class="background", timeout_ms=3000
    ),
}
SERVERS = [
    Announcement(
        f"i{index}",
        1,
        "r",
        "a" if index < 3 else "b",
        "",
        service="pages",
        server_version="v2" if index % 3 == 2 else "v1",
        server_address=f"127.0.0.1:{index + 1}",
        state=ServerState.SERVING,
        slots=2,
        connections=3,
    )
    for index in range(6)
]


class ErrorDiffusionSplit:
    """Replaces the version split of the moves package."""

    def __init__(self, share: float, rng: random.Random):
        self.share = share
        self.total = rng.random()

    def choose(self) -> bool:
        """Returns whether the next request goes to the new version."""
        self.total += self.share
        chosen = self.total >= 1.0
        self.total -= chosen
        return chosen


@dataclasses.dataclass(eq=False)
class WireAttempt:
    """One attempt as the network and the backend server see it."""

    server: ServerView
    number: int
    sent: bool = False
    ran: bool = False
    finished: bool = False  # No more events reach the node from here.
    open: bool = True  # The node counts it as running.


@dataclasses.dataclass(eq=False)
class Call:
    """One request as its caller and the oracle see it."""

    exchange: Exchange
    attempts: list[WireAttempt] = dataclasses.field(default_factory=list)
    response: object = None
    caller_left: bool = False
    claimed: bool = False
    settled: list[int] = dataclasses.field(default_factory=list)
    answers: int = 0

    @property
    def runs(self) -> int:
        """How many backend servers ran the request."""
        return sum(attempt.ran for attempt in self.attempts)


class World:
    """Requests, server changes, moves and elapsed time in any order.

    Each operation takes two bytes that select what it does.
    """

    def __init__(self, policy: str, seed: int):
        chosen = msgspec.structs.replace(SETTINGS, policy=policy)
        self.router = RequestRouter(
            chosen, "a", random.Random(seed), ErrorDiffusionSplit
        )
        self.now = START
        self.all_calls: list[Call] = []
        self.usable: set[str] = set()
        self.share = 0.0
        self.split = False
        self.first_attempts = 0
        self.retries = 0
        self.router.set_routes(ROUTES, CLASSES, {"pages": Service("v1")})
        self.set_servers(0, 0)

    # The control plane.

    def set_servers(self, absent: int, draining: int) -> None:
        """Changes the usable servers; each bit stands for one server."""
        announcements = []
        self.usable = set()
        for index, server in enumerate(SERVERS):
            if absent >> index & 1:
                continue
            if draining >> index & 1:
                state = ServerState.DRAINING
                server = msgspec.structs.replace(server, state=state)
            else:
                self.usable.add(server.instance)
            announcements.append(server)
        self.check_effects(
            self.router.set_servers(
                "pages", announcements, absent > 128, self.now, self.now
            )
        )

    def set_split(self, share: int, on: int) -> None:
        """Changes the move's share while requests run."""
        self.split, self.share = on % 4 != 0, (0.0, 0.01, 0.5, 1.0)[share % 4]
        if self.split:
            self.router.set_split("pages", "v1", "v2", self.share)
        else:
            self.router.clear_split("pages")

    def set_routes(self, gone: int, _: int) -> None:
        """Removes or restores the routes while requests run."""
        routes = {} if gone % 4 == 0 else ROUTES
        self.router.set_routes(routes, CLASSES, {"pages": Service("v1")})

    def advance(self, seconds: int, late: int) -> None:
        """Lets time pass and fires due timers, sometimes only later."""
        self.now += STEPS_S[seconds % len(STEPS_S)]
        if late % 4:
            self.fire_timers()

    def fire_timers(self) -> None:
        """Fires the due timers."""
        for call in self.all_calls:
            exchange = call.exchange
            while not exchange.ended and self.now >= exchange.timer_at:
                self.deliver(call, TimedOut())

    # Callers.

    def request(self, kind: int, count: int) -> None:
        """Sends 1 to 4 requests of callers."""
        method = ("GET", "POST")[kind & 1]
        path = ("/", "/x", "/", "/audit")[kind >> 1 & 3]
        deadline = DEADLINES_MS[count >> 2 & 7]
        attempt = 2 if kind >> 3 & 7 == 0 else 1
        inputs = RequestInputs(deadline, attempt, "k" * (kind >> 6 & 1))
        for _ in range(1 + count % 4):
            found = self.router.route(method, path, inputs, self.now)
            if isinstance(found, Refusal):
                assert found.not_run
                return
            call = Call(found)
            found.owner = call
            found.replayable = method == "GET" or count < 128
            self.all_calls.append(call)
            self.check_effects(self.router.start(found, self.now))

    def abort_by_caller(self, pick: int, too_much: int) -> None:
        """Disconnects a caller, or rejects its body as too large."""
        calls = self.running_calls()
        if not calls:
            return
        call = calls[-1 - pick % len(calls)]
        if too_much % 2 and call.attempts:
            self.deliver(call, BodyRejected("body_too_large"))
        else:
            call.caller_left = True
            self.deliver(call, CallerGone())

    def answer_claim(self, pick: int, choice: int) -> None:
        """Delivers an answer, or no answer, to a claim, possibly late."""
        calls = self.calls_with_open_claim()
        if not calls:
            return
        call = calls[-1 - pick % len(calls)]
        states = [*KeyState, None, *[KeyState.GRANTED] * 5]
        state = states[choice % len(states)]
        answer = None if state is None else KeyAnswer(state, 200)
        self.deliver(call, KeyAnswered(answer))

    # The network and the backend servers.

    def network(self, pick: int, choice: int) -> None:
        """Applies an event to an attempt, possibly to a cancelled one."""
        attempts = self.open_attempts()
        if attempts:
            call, attempt = attempts[-1 - pick % len(attempts)]
            possible_events = self.possible_events(call, attempt)
            possible_events[choice % len(possible_events)](call, attempt)

    def running_calls(self) -> list[Call]:
        """Returns the requests that have not ended."""
        return [c for c in self.all_calls if not c.exchange.ended]

    def calls_with_open_claim(self) -> list[Call]:
        """Returns the requests with a claim but no attempt."""
        return [c for c in self.all_calls if c.claimed and not c.attempts]

    def open_attempts(self) -> list[tuple[Call, WireAttempt]]:
        """Returns the attempts to which events can still happen."""
        return [
            (call, attempt)
            for call in self.all_calls
            for attempt in call.attempts
            if not attempt.finished and (attempt.sent or attempt.open)
        ]

    def possible_events(
        self, call: Call, attempt: WireAttempt
    ) -> list[Callable[[Call, WireAttempt], None]]:
        """Returns the events that can happen to an attempt."""
        if not attempt.sent:
            return [self.connect, self.connect, self.fail_to_connect]
        if attempt.ran and call.response is Answer and attempt.open:
            return [self.end_body, self.lose_connection]
        if attempt.ran:
            return [self.answer, self.answer_with_error, self.lose_connection]
        return [self.run, self.run, self.shed, self.lose_connection]

    def connect(self, call: Call, attempt: WireAttempt) -> None:
        """Connects an attempt and sends its request."""
        attempt.sent = True
        self.deliver(call, BytesSent(attempt.number))

    def fail_to_connect(self, call: Call, attempt: WireAttempt) -> None:
        """Fails to connect an attempt."""
        attempt.finished = True
        self.deliver(call, ConnectFailed(attempt.number))

    def run(self, call: Call, attempt: WireAttempt) -> None:
        """Runs the request on the server, even after the node cancelled it."""
        attempt.ran = True

    def shed(self, call: Call, attempt: WireAttempt) -> None:
        """Lets the server state that it does not run the request."""
        attempt.finished = True
        self.deliver(call, NotRun(attempt.number))

    def answer(
        self, call: Call, attempt: WireAttempt, status: int = 200
    ) -> None:
        """Delivers the response header, possibly late."""
        before = call.answers
        was_open = attempt.open
        self.deliver(call, HeadersReceived(attempt.number, status))
        if call.answers > before:
            assert attempt is call.attempts[-1]
            assert was_open

    def answer_with_error(self, call: Call, attempt: WireAttempt) -> None:
        """Delivers an error response."""
        self.answer(call, attempt, 503)

    def lose_connection(self, call: Call, attempt: WireAttempt) -> None:
        """Breaks the connection; a sent request may still run later."""
        event = BodyCut if attempt.ran else Disconnected
        self.deliver(call, event(attempt.number))
        attempt.finished = attempt.ran

    def end_body(self, call: Call, attempt: WireAttempt) -> None:
        """Ends the response after its whole body was forwarded."""
        attempt.finished = True
        self.deliver(call, BodyEnded(attempt.number))

    # The oracle.

    def deliver(self, call: Call, event: ExchangeEvent) -> None:
        """Passes an event to the router and checks its effects."""
        was_ended = call.exchange.ended
        effects = self.router.handle(call.exchange, event, self.now)
        if was_ended:
            assert not any(e.exchange is call.exchange for e in effects)
        self.check_effects(effects)

    def check_effects(self, effects: list) -> None:
        """Records effects and checks what must hold at this time."""
        for effect in effects:
            call: Call = effect.exchange.owner
            if isinstance(effect, Attempt):
                self.check_attempt(call, effect)
            elif isinstance(effect, ReportAttempt):
                assert call.attempts[-1].open
                call.attempts[-1].open = False
            elif isinstance(effect, Answer):
                assert call.response is None
                call.response = Answer
                call.answers += 1
            elif isinstance(effect, Refuse):
                assert call.response is None
                call.response = effect.refusal
            elif isinstance(effect, CloseConnection):
                assert call.response is Answer
                call.response = CloseConnection
            elif isinstance(effect, Claim):
                assert effect.exchange.method == "POST"
                call.claimed = True
            elif isinstance(effect, Settle):
                call.settled.append(effect.status)
            else:
                assert isinstance(effect, (Cancel, Wait))

    def check_attempt(self, call: Call, attempt: Attempt) -> None:
        """Checks a new attempt against the rules for choosing it."""
        exchange = call.exchange
        server = attempt.server
        assert call.response is None
        assert not call.caller_left
        assert server.announcement.instance in self.usable
        assert server.ejected_until <= self.now
        assert self.now < exchange.deadline.at
        assert server not in [earlier.server for earlier in call.attempts]
        assert not any(earlier.open for earlier in call.attempts)
        assert attempt.number == len(call.attempts) + 1
        assert attempt.number <= SETTINGS.max_attempts
        if not self.split or self.share == 0.0:
            assert server.announcement.server_version == "v1"
        name = exchange.route.caller_class
        limit = max(1.0, server.limiter.limit)
        assert server.outstanding <= limit <= 3
        share = CLASSES[name].max_share
        assert server.outstanding_by_class[name] <= max(1.0, limit * share)
        if call.attempts:
            self.retries += 1
            assert exchange.inputs.attempt == 1
        else:
            self.first_attempts += 1
        call.attempts.append(WireAttempt(server, attempt.number))

    def check_refusals_are_true(self) -> None:
        """Refusals state not_run correctly; a POST runs at most once."""
        for call in self.all_calls:
            if isinstance(call.response, Refusal) and call.response.not_run:
                assert call.runs == 0
            if not call.exchange.idempotent:
                assert call.runs <= 1

    def check_keys_are_settled_once(self) -> None:
        """A claim is settled at most once, with the true outcome."""
        for call in self.all_calls:
            assert len(call.settled) <= 1
            if call.settled == [0]:
                assert call.runs == 0
            if call.settled and call.settled[0] > 0:
                assert call.runs == 1
            if call.exchange.ended and call.attempts and call.claimed:
                assert call.settled

    def check_slots_are_counted(self) -> None:
        """The slots in use equal the running attempts; none leaks."""
        attempts = [a for call in self.all_calls for a in call.attempts]
        for server in {id(a.server): a.server for a in attempts}.values():
            held = sum(a.open for a in attempts if a.server is server)
            assert server.outstanding == held
            assert sum(server.outstanding_by_class.values()) == held

    def check_retries_stay_in_budget(self) -> None:
        """Retries are bounded by first attempts and time."""
        allowed = 1 + 0.1 * self.first_attempts + self.now - START
        assert self.retries <= allowed + 1e-6

    def check_ejections_and_queues_are_bounded(self) -> None:
        """Some servers are never ejected; queues keep their limits."""
        pool = self.router.get_pool("pages")
        for servers in pool.servers_by_version.values():
            assert any(s.ejected_until <= self.now for s in servers)
        for name, queue in pool.queue.waiting.items():
            assert len(queue) <= CLASSES[name].queue_limit
            assert not any(exchange.ended for exchange in queue)
        queues = pool.queue.waiting.values()
        assert pool.queue.size == sum(len(queue) for queue in queues)

    def check(self) -> None:
        """Checks what holds after every operation."""
        self.check_refusals_are_true()
        self.check_keys_are_settled_once()
        self.check_slots_are_counted()
        self.check_retries_stay_in_budget()
        self.check_ejections_and_queues_are_bounded()

    def finish(self) -> None:
        """Checks that all requests end by their deadline and free slots."""
        self.now += 100.0
        self.fire_timers()
        for call in self.all_calls:
            assert call.exchange.ended
            assert call.caller_left or call.response is not None
            assert not any(attempt.open for attempt in call.attempts)
        self.check()


OPERATIONS = [
    *[World.network] * 12,
    *[World.request] * 4,
    *[World.advance] * 2,
    *[World.answer_claim] * 2,
    World.set_servers,
    World.set_split,
    World.set_routes,
    World.abort_by_caller,
]


def run_program(world: World, program: bytes) -> None:
    """Runs one operation for every three bytes, with checks after each."""
    for index in range(0, len(program) - 2, 3):
        operation, first, second = program[index : index + 3]
        OPERATIONS[operation % len(OPERATIONS)](world, first, second)
        world.check()
    world.finish()


class TestRouter:
    """The request path as a whole."""

    # Seeds give far deeper runs than bytes that hypothesis generates, which are
    # often equal. A failure still shrinks to its shortest prefix by the length.
    @settings(max_examples=max(300, settings().max_examples))
    @given(
        policy=st.sampled_from(sorted(balancing_policies)),
        seed=st.integers(0, 2**32 - 1),
        length=st.integers(300, 900),
    )
    def test_router_fuzz(self, policy: str, seed: int, length: int) -> None:
        """Guards against untrue refusals, repeated POSTs and leaked slots."""
        program = random.Random(seed).randbytes(length)
        run_program(World(policy, seed), program)
