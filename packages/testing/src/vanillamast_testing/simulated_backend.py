"""The request handling of a backend server in the in-memory network."""

import collections
import dataclasses
from collections.abc import Callable

from vanillamast_testing.badness import NO_FAULT, Badness, Fault
from vanillamast_testing.core_network import LATENCY_SIGMA, CoreNetwork
from vanillamast_testing.simulated_server import SimulatedServer

SLOTS = 9
QUEUE_LIMIT = 4
WORK_S = 0.02  # Median; tens of requests a second keep some slots busy.


@dataclasses.dataclass(slots=True)
class BackendAnswer:
    """How a request ended at a backend server.

    Attributes:
      request_id: Request whose answer this is.
      version: Version of the backend server.
      status: Status, 0 if the connection failed without an answer.
      not_run: Whether the backend server shed the request.
      cut: Whether the body ends early.
    """

    request_id: str
    version: str
    status: int = 200
    not_run: bool = False
    cut: bool = False


@dataclasses.dataclass(slots=True)
class BackendRequest:
    """A request that arrived.

    Attributes:
      request_id: The caller's id, the same for all attempts.
      path: Its path.
      on_answer: Called with the answer at the moment that it is sent.
    """

    request_id: str
    path: str
    on_answer: Callable[[BackendAnswer], None]


class SimulatedBackend:
    """A backend server with slots, a short queue and a badness.

    A paused server runs the requests that it received when it is resumed, even
    if the caller has given up: a delivered request cannot be cancelled.

    Attributes:
      name: Its instance.
      runs: How many times each request id began to run, over all restarts.
      badness: Its badness.
    """

    def __init__(self, network: CoreNetwork, name: str):
        self.network = network
        self.name = name
        self.runs: collections.Counter[str] = collections.Counter()
        self.badness = Badness()
        self.badness_at = 0.0
        self.generation = 0
        self.busy = 0
        self.queue: collections.deque[BackendRequest] = collections.deque()
        self.deferred: list[Callable[[], None]] = []

    @property
    def server(self) -> SimulatedServer:
        """Returns the server's process state."""
        return self.network.servers[self.name]

    def set_badness(self, badness: Badness) -> None:
        """Replaces the badness."""
        self.badness = badness
        self.badness_at = self.network.now

    def kill(self) -> None:
        """Drops everything that waits or runs."""
        self.generation += 1
        self.busy = 0
        self.queue.clear()
        self.deferred.clear()

    def resume(self) -> None:
        """Runs what was deferred while the process was paused."""
        deferred, self.deferred = self.deferred, []
        for action in deferred:
            action()

    def receive(self, request: BackendRequest) -> None:
        """Receives a request from the network."""
        if not self.server.running:
            return
        if self.server.paused:
            self.deferred.append(lambda: self.receive(request))
        elif self.busy < SLOTS:
            self._begin(request)
        elif len(self.queue) < QUEUE_LIMIT:
            self.queue.append(request)
        else:
            answer = self._answer(request)
            answer.status, answer.not_run = 503, True
            request.on_answer(answer)

    def _begin(self, request: BackendRequest) -> None:
        self.busy += 1
        self.runs[request.request_id] += 1
        fault = self._choose_fault(request.path)
        work_s = self.network.rng.lognormvariate(0.0, LATENCY_SIGMA) * WORK_S
        generation = self.generation
        self.network.call_later(
            work_s + fault.delay_s,
            lambda: self._end(request, fault, generation),
        )

    def _end(
        self, request: BackendRequest, fault: Fault, generation: int
    ) -> None:
        if generation != self.generation:
            return
        if self.server.paused:
            self.deferred.append(lambda: self._end(request, fault, generation))
            return
        answer = self._answer(request)
        answer.status, answer.cut = fault.status, fault.cut
        request.on_answer(answer)
        self.busy -= 1
        if self.queue:
            self._begin(self.queue.popleft())

    def _answer(self, request: BackendRequest) -> BackendAnswer:
        return BackendAnswer(request.request_id, self.server.version)

    def _choose_fault(self, path: str) -> Fault:
        age_s = self.network.now - self.badness_at
        if not self.badness.affects(path, age_s, self.busy / SLOTS):
            return NO_FAULT
        if self.network.rng.random() >= self.badness.share:
            return NO_FAULT
        return self.badness.fault()
