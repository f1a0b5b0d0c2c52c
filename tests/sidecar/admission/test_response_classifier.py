"""Tests of what a backend server's response says about the request."""

import itertools

import pytest
from vanillamast_sidecar.admission.response_classifier import (
    NOT_RUN_STATUSES,
    classify_response,
)
from vanillamast_sidecar.admission.response_kind import ResponseKind
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.http.http_message import HttpResponse

FIELDS = FieldNames(
    request_id=b"x-id",
    deadline_ms=b"x-deadline",
    expected_instance=b"x-instance",
    caller=b"x-caller",
    signature=b"x-proof",
    not_executed=b"x-not-run",
    rate_limit=b"limit",
    leaving=b"leaving",
)
NOT_RUN_KINDS = (
    ResponseKind.REFUSAL,
    ResponseKind.REJECTION,
    ResponseKind.MISDIRECTED,
)


def classify(status, *, not_run=False, signed=False, encoded=False):
    """Returns the kind of a response."""
    headers = []
    if not_run:
        headers.append((b"X-Not-Run", b"1"))
    if signed:
        headers.append((b"X-Proof", b"1"))
    if encoded:
        headers.append((b"Content-Encoding", b"gzip"))
    return classify_response(HttpResponse(status, headers), FIELDS)


class TestClassifyResponse:
    """Only the server's own field says that a request has not run."""

    @pytest.mark.parametrize("status", [408, 429, 503])
    @pytest.mark.parametrize("signed", [False, True])
    def test_a_status_alone_is_no_proof(self, status, signed):
        """Guards against a second run of what a server ran and failed."""
        kind = classify(status, signed=signed)
        assert kind is ResponseKind.UNCONFIRMED

    @pytest.mark.parametrize("status", [408, 429, 503, 500, 502, 504])
    @pytest.mark.parametrize("signed", [False, True])
    def test_the_field_is_proof(self, status, signed):
        """Guards against a request that could run elsewhere, but fails."""
        kind = classify(status, not_run=True, signed=signed)
        assert kind is ResponseKind.REFUSAL

    @pytest.mark.parametrize("status", [400, 403, 404, 413, 431])
    def test_a_rejected_request_is_not_tried_elsewhere(self, status):
        """Guards against a faulty request that all servers get in turn."""
        assert classify(status, not_run=True) is ResponseKind.REJECTION

    def test_another_server_at_the_address_has_not_run_it(self):
        """Guards against failures after an address is used again."""
        assert classify(421) is ResponseKind.MISDIRECTED
        assert classify(421, not_run=True) is ResponseKind.MISDIRECTED

    def test_the_servers_own_421_is_no_proof(self):
        """Guards against an application that answers 421 to what it ran."""
        assert classify(421, signed=True) is ResponseKind.UNCONFIRMED

    @pytest.mark.parametrize("status", [200, 204, 301])
    def test_a_success_has_run(self, status):
        """Guards against a faulty server that contradicts itself."""
        kind = classify(status, not_run=True, signed=True)
        assert kind is ResponseKind.MALFORMED

    def test_a_success_needs_the_signature(self):
        """Guards against bytes of another server as a success."""
        assert classify(200) is ResponseKind.MALFORMED
        assert classify(200, signed=True) is ResponseKind.ANSWER

    @pytest.mark.parametrize("status", [200, 404, 500, 503])
    def test_an_encoded_body_is_not_the_servers(self, status):
        """Guards against a body that something on the way has changed."""
        kind = classify(status, signed=True, encoded=True)
        assert kind is ResponseKind.MALFORMED

    @pytest.mark.parametrize(
        ("not_run", "signed", "encoded"),
        list(itertools.product([False, True], repeat=3)),
    )
    def test_each_status_without_proof_may_have_run(
        self, not_run, signed, encoded
    ):
        """Guards against a status that slips through the rule."""
        for status in range(100, 600):
            kind = classify(
                status, not_run=not_run, signed=signed, encoded=encoded
            )
            if kind in NOT_RUN_KINDS:
                assert not_run or (status == 421 and not signed)
            if kind is ResponseKind.ANSWER:
                assert status not in NOT_RUN_STATUSES
