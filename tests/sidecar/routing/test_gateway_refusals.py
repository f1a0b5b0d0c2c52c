"""Fuzzes what callers are told after failed attempts."""

import dataclasses
import itertools

import pytest
from hypothesis import HealthCheck, given, settings, strategies
from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.admission.response_classifier import (
    NOT_RUN_STATUSES,
    classify_response,
)
from vanillamast_sidecar.admission.response_kind import ResponseKind
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.http.http_message import HttpRequest, HttpResponse
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.routing.retry_budget import RetryBudget

from tests.sidecar import virtual_time
from tests.sidecar.routing.test_gateway import gateway as gateway_fixture
from tests.sidecar.routing.test_gateway import route

FIELDS = FieldNames(
    b"x-id",
    b"x-deadline",
    b"x-instance",
    b"x-caller",
    b"x-proof",
    b"x-not-run",
    b"limit",
    b"leaving",
)
SERVERS = 5
NOT_RUN_HEADERS = [(b"X-Not-Run", b"1")]
SIGNED = [(b"X-Proof", b"1")]


@dataclasses.dataclass(frozen=True)
class Attempt:
    """What happens to one attempt.

    Attributes:
      runs: Whether a server runs the request.
      status: Status of the server's response, 0 without one.
      headers: Header fields of the response.
      outcome: Outcome without a response.
      sent: Whether the request was sent to a server.
    """

    runs: bool
    status: int = 0
    headers: tuple = ()
    outcome: Outcome = Outcome.ANSWERED
    sent: bool = True

    def to_result(self):
        """Returns the result as the node beside the server reports it."""
        if not self.status:
            return CallResult(self.outcome, Reason.PEER_LOST, None, self.sent)
        response = HttpResponse(self.status, list(self.headers))
        kind = classify_response(response, FIELDS)
        refused = (ResponseKind.REFUSAL, ResponseKind.REJECTION)
        outcome = Outcome.NOT_RUN if kind in refused else Outcome.ANSWERED
        if kind is ResponseKind.MISDIRECTED:
            return CallResult(
                Outcome.NOT_RUN, Reason.WRONG_INSTANCE, None, True
            )
        return CallResult(
            outcome, response=response, sent_to_server=True, kind=kind
        )


# An application's failure, of a request that it has run.
own_failures = strategies.builds(
    Attempt,
    runs=strategies.just(True),
    status=strategies.sampled_from([400, 404, 408, 429, 500, 502, 503, 504]),
    headers=strategies.sampled_from([(), tuple(SIGNED)]),
)
signed_421 = strategies.just(Attempt(True, 421, tuple(SIGNED)))
successes = strategies.just(Attempt(True, 200, tuple(SIGNED)))
refusals = strategies.builds(
    Attempt,
    runs=strategies.just(False),
    status=strategies.sampled_from([400, 408, 421, 429, 500, 503]),
    headers=strategies.sampled_from(
        [tuple(NOT_RUN_HEADERS), tuple(NOT_RUN_HEADERS + SIGNED)]
    ),
)
misdirected = strategies.just(Attempt(False, 421))
# A lost link or a time-out: it may have run or not.
lost = strategies.builds(
    Attempt,
    runs=strategies.booleans(),
    outcome=strategies.sampled_from([Outcome.UNKNOWN, Outcome.EXPIRED]),
)
refused_by_node = strategies.just(
    Attempt(False, outcome=Outcome.NOT_RUN, sent=False)
)
attempts = strategies.lists(
    strategies.one_of(
        own_failures,
        signed_421,
        successes,
        refusals,
        misdirected,
        lost,
        refused_by_node,
    ),
    min_size=1,
    max_size=SERVERS,
)


async def answer(idempotent, script):
    """Plays attempts; returns the response and which of them were made."""
    # The fixture's function, without pytest.
    gateway = await gateway_fixture.__wrapped__()
    gateway.mesh.config_version = 1
    gateway.settings = dataclasses.replace(gateway.settings, fields=FIELDS)
    peers = []
    for number in range(SERVERS):
        host = f"127.0.0.{number + 2}:1"
        server = InstanceRecord(
            f"i-{number}", 1, 1, "browse", "v1", 4, True, False, 0.0, host
        )
        record = NodeRecord(host, "a", 1, 0, False, server)
        peers.append(gateway.mesh.membership.apply_record(record, True, 0.0))
    waiting = iter(peers)
    made = []

    async def run(exchange, peer, may_wait):
        del exchange, peer, may_wait
        made.append(script[len(made)])
        return made[-1].to_result()

    gateway._choose_server = lambda exchange, now: (
        next(waiting, None) if len(made) < len(script) else None,
        True,
    )
    gateway._run_remotely = run
    exchange = gateway._create_exchange(
        HttpRequest("POST", "/x/1", [], b""),
        dataclasses.replace(
            route(1), idempotent=idempotent, max_attempts=SERVERS
        ),
        b"5a0e3a11",
        gateway.loop.time(),
    )
    response = await gateway._try_servers(
        exchange, RetryBudget(1.0, 100.0, 10.0)
    )
    return response, made


class TestPromises:
    """No answer says of a request that has run that it has not."""

    @settings(
        max_examples=300,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(script=attempts)
    def test_fuzz_of_requests_that_may_run_once(self, script):
        """Guards against a second run that the caller is invited to."""
        response, made = virtual_time.run(answer(False, script))
        runs = sum(attempt.runs for attempt in made)
        assert runs <= 1
        if response.status in NOT_RUN_STATUSES:
            assert runs == 0
        if response.get_header(FIELDS.signature) is not None:
            # A server's proof belongs to that server's status alone.
            statuses = {attempt.status for attempt in made if attempt.headers}
            assert response.status in statuses

    @settings(
        max_examples=300,
        deadline=None,
        derandomize=True,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(script=attempts)
    def test_fuzz_of_requests_that_may_be_repeated(self, script):
        """Guards against a promise of the node's own that is not true."""
        response, made = virtual_time.run(answer(True, script))
        own = response.get_header(b"retry-after") is not None
        if own and response.status in NOT_RUN_STATUSES:
            assert not any(attempt.runs for attempt in made)

    @pytest.mark.parametrize("status", sorted(NOT_RUN_STATUSES))
    def test_a_failure_of_what_has_run(self, status):
        """Guards against callers that book twice (review/14)."""
        script = [Attempt(True, status, tuple(SIGNED))]
        response, _ = virtual_time.run(answer(False, script))
        assert response.status == 502
        assert response.get_header(FIELDS.signature) is None

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_another_server_may_run_what_may_be_repeated(self, status):
        """Guards against a failure although another server would do."""
        failed = Attempt(True, status, tuple(SIGNED))
        script = [failed, Attempt(True, 200, tuple(SIGNED))]
        response, _ = virtual_time.run(answer(True, script))
        assert response.status == 200

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_the_servers_own_answer_if_there_is_no_other(self, status):
        """Guards against a node's guess in place of what the server says."""
        headers = (*SIGNED, (b"Retry-After", b"3"))
        script = [Attempt(True, status, headers)]
        response, _ = virtual_time.run(answer(True, script))
        assert response.status == status
        assert response.get_header(b"retry-after") == b"3"

    @pytest.mark.parametrize("idempotent", [False, True])
    def test_a_rejected_request_is_answered_by_the_server(self, idempotent):
        """Guards against a promise that invites the same request again."""
        script = [Attempt(False, 400, tuple(NOT_RUN_HEADERS))] * 2
        response, made = virtual_time.run(answer(idempotent, script))
        assert response.status == 400
        assert len(made) == 1

    @pytest.mark.parametrize(
        ("first", "idempotent"),
        list(itertools.product(range(3), [False, True])),
    )
    def test_true_refusals_are_passed_on_as_such(self, first, idempotent):
        """Guards against callers that do not repeat what has not run."""
        script = [
            [Attempt(False, 503, tuple(NOT_RUN_HEADERS))],
            [Attempt(False, 421)],
            [Attempt(False, outcome=Outcome.NOT_RUN, sent=False)],
        ][first]
        response, _ = virtual_time.run(answer(idempotent, script))
        assert response.status == 503
        assert response.get_header(b"retry-after") is not None
