"""A caller of the in-memory network that sends at a fixed rate."""

import itertools
import random
import uuid
from collections.abc import Sequence

from vanillamast_testing.core_adapter import WALL_START_S
from vanillamast_testing.request_record import RequestRecord
from vanillamast_testing.scenario_network import ScenarioNetwork
from vanillamast_testing.scenario_values import ScenarioTraffic
from vanillamast_testing.simulated_call import CallResult
from vanillamast_testing.uuid7 import uuid7

CALLER_DELAY_S = 0.001  # Design section 1.2.
REQUEST_TIMEOUT_S = 5.0
REPEAT_PAUSE_S = 0.2
REPEATS = 2


class SimulatedCaller:
    """Sends requests on schedule and records the outcome of each.

    A caller that cannot connect to a node tries the next one. A post without
    a clear outcome is sent again with the same key.

    Attributes:
      records: One record per request, in order of sending.
      count: Number of requests to send.
      unfinished: Requests that have not ended or have not been sent.
    """

    def __init__(
        self,
        network: ScenarioNetwork,
        traffic: ScenarioTraffic,
        targets: Sequence[str],
        reads: Sequence[str],
        posts: Sequence[str],
    ):
        self.network = network
        self.reads, self.posts = tuple(reads), tuple(posts)
        self.targets = tuple(targets)
        self.next_target = itertools.cycle(targets)
        self.rng = random.Random(network.rng.getrandbits(64))
        self.records: list[RequestRecord] = []
        count = int(traffic.rate * traffic.duration_s)
        self.count = self.unfinished = count
        self.post_share = traffic.post_share if posts else 0.0
        for index in range(count):
            network.call_later(index / traffic.rate, self._send)

    @property
    def all_sent(self) -> bool:
        """Whether every request was sent at least once."""
        return len(self.records) == self.count

    def _send(self) -> None:
        post = self.rng.random() < self.post_share
        now = self.network.now
        bits = self.rng.getrandbits(128)
        record = RequestRecord(
            request_id=str(uuid.UUID(int=bits, version=4)),
            method="POST" if post else "GET",
            path=self.rng.choice(self.posts if post else self.reads),
            target="",
            sent_at_s=now,
            key=str(uuid7(WALL_START_S + now, self.rng)) if post else "",
        )
        self.records.append(record)
        self._attempt(record)

    def _attempt(self, record: RequestRecord) -> None:
        record.attempts += 1
        record.status = 0
        record.error = record.refusal = record.version = ""
        record.not_run = None
        record.whole = False
        attempt = record.attempts
        record.target = self._connect()
        if not record.target:
            record.error = "ConnectionRefused"
            self._attempt_ended(record)
            return

        def done(result: CallResult) -> None:
            self.network.call_later(
                CALLER_DELAY_S, lambda: self._receive(record, attempt, result)
            )

        path = self.network.paths[record.target]
        path.call_later(
            CALLER_DELAY_S, lambda: path.handle_request(record, done)
        )
        self.network.call_later(
            REQUEST_TIMEOUT_S, lambda: self._give_up(record, attempt)
        )

    def _connect(self) -> str:
        """Returns the next node that accepts connections."""
        for _ in self.targets:
            target = next(self.next_target)
            if target in self.network.accepting:
                return target
        return ""

    def _receive(
        self, record: RequestRecord, attempt: int, result: CallResult
    ) -> None:
        if record.attempts != attempt or record.error or record.status:
            return
        if result.refusal is not None:
            record.refusal = result.refusal.kind
            record.not_run = result.refusal.not_run
            record.status, record.whole = result.refusal.status, True
        elif result.answer is not None:
            record.status = result.answer.status
            record.version = result.answer.version
            own = result.answer.request_id == record.request_id
            record.whole = result.whole and own
        if not record.whole and (result.answer is None or not result.whole):
            record.error = "ConnectionClosed"
        self._attempt_ended(record)

    def _give_up(self, record: RequestRecord, attempt: int) -> None:
        if record.attempts != attempt or record.error or record.status:
            return
        record.error = "TimeoutError"
        self._attempt_ended(record)

    def _attempt_ended(self, record: RequestRecord) -> None:
        again = record.method == "POST" and not record.outcome_known
        if again and record.attempts <= REPEATS:
            self.network.call_later(
                REPEAT_PAUSE_S, lambda: self._attempt(record)
            )
            return
        elapsed_s = self.network.now - record.sent_at_s
        record.latency_ms = elapsed_s * 1000
        self.unfinished -= 1
