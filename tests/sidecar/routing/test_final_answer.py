"""Tests of what callers get in the end."""

import itertools

import pytest
from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.admission.response_kind import ResponseKind
from vanillamast_sidecar.http.http_message import HttpResponse
from vanillamast_sidecar.routing.final_answer import (
    FinalAnswer,
    choose_final_answer,
)

LOST = CallResult(Outcome.UNKNOWN, Reason.PEER_LOST, sent_to_server=True)
EXPIRED = CallResult(Outcome.EXPIRED, Reason.TIMEOUT, sent_to_server=True)
REFUSED = CallResult(Outcome.NOT_RUN, Reason.OVERLOADED)


def answered(status, kind=ResponseKind.ANSWER):
    """Returns an attempt that a server answered."""
    return CallResult(
        Outcome.ANSWERED,
        response=HttpResponse(status, []),
        sent_to_server=True,
        kind=kind,
    )


UNCONFIRMED = answered(503, ResponseKind.UNCONFIRMED)
REJECTED = CallResult(
    Outcome.NOT_RUN,
    Reason.SHED_BY_SERVER,
    HttpResponse(400, []),
    sent_to_server=True,
    kind=ResponseKind.REJECTION,
)


class TestChooseFinalAnswer:
    """A caller is told that a request has not run only if that is certain."""

    @pytest.mark.parametrize(
        ("answer", "last", "may_have_run", "idempotent", "expected"),
        [
            (None, None, False, False, FinalAnswer.NOT_RUN),
            (None, REFUSED, False, False, FinalAnswer.NOT_RUN),
            (None, LOST, True, False, FinalAnswer.FAILED),
            (None, EXPIRED, True, False, FinalAnswer.EXPIRED),
            # A refusal after an attempt that may have run.
            (None, REFUSED, True, True, FinalAnswer.FAILED),
            (answered(200), answered(200), True, False, FinalAnswer.SERVER),
            (answered(500), REFUSED, True, True, FinalAnswer.SERVER),
            (UNCONFIRMED, UNCONFIRMED, True, False, FinalAnswer.FAILED),
            (UNCONFIRMED, UNCONFIRMED, True, True, FinalAnswer.SERVER),
            (UNCONFIRMED, LOST, True, True, FinalAnswer.SERVER),
            (REJECTED, REJECTED, False, False, FinalAnswer.SERVER),
            (REJECTED, REJECTED, True, True, FinalAnswer.SERVER),
        ],
    )
    def test_table(self, answer, last, may_have_run, idempotent, expected):
        """Guards against each entry of docs/incidents/own-refusal.md."""
        chosen = choose_final_answer(answer, last, may_have_run, idempotent)
        assert chosen is expected

    def test_no_promise_for_what_may_have_run(self):
        """Guards against a combination that the table lacks."""
        attempts = (None, LOST, EXPIRED, REFUSED, UNCONFIRMED, REJECTED)
        for answer, last, idempotent in itertools.product(
            (None, UNCONFIRMED, answered(500)), attempts, (False, True)
        ):
            chosen = choose_final_answer(answer, last, True, idempotent)
            assert chosen is not FinalAnswer.NOT_RUN
            if not idempotent and answer is UNCONFIRMED:
                assert chosen is not FinalAnswer.SERVER
