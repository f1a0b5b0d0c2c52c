"""Tests of the calls of backend servers."""

import json

import pytest
from vanillamast_platform.server_calls import ServerCalls
from vanillamast_sidecar.errors import InvalidHeartbeatError
from vanillamast_sidecar.http.http_message import HttpRequest
from vanillamast_sidecar.membership.heartbeat import Heartbeat
from vanillamast_sidecar.membership.server_api import Deregistration

HEARTBEAT = {
    "service": "s",
    "addr": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "max_concurrency": 9,
    "state": "ready",
    "cold_left_s": 1.5,
    "sequence": 4,
    "born": 1780978095310,
}


def post(path: str, body: object) -> HttpRequest:
    """Returns an HTTP request of a backend server."""
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return HttpRequest("POST", path, [], raw)


class TestServerCalls:
    """Heartbeats, deregistrations and invalid calls."""

    def test_a_heartbeat(self):
        """Guards against fields that are read under a wrong name."""
        call = ServerCalls().decode(
            post("/api/instances/i-1/heartbeat", HEARTBEAT)
        )
        assert call == Heartbeat(
            "i-1", 1780978095310, 4, "s", "10.0.0.1:80", "v1", 9, False, 1.5
        )

    @pytest.mark.parametrize("body", [b"", {}, {"born": 7}])
    def test_a_deregistration_with_and_without_its_incarnation(self, body):
        """Guards against a deregistration that is not acknowledged."""
        call = ServerCalls().decode(post("/api/instances/i-1/deregister", body))
        born = body.get("born", 0) if isinstance(body, dict) else 0
        assert call == Deregistration("i-1", born)

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "resting"},
            {"max_concurrency": "many"},
            {"sequence": None},
            {"addr": 5},
            {"addr": "10.0.0.1:65536"},
            {"addr": "10.0.0.1:" + "9" * 5000},
            {"born": 1.5},
            {"born": 10**26},
            {"born": -1},
            {"sequence": 2**64},
            {"max_concurrency": 10**26},
        ],
    )
    def test_an_invalid_heartbeat_is_a_typed_error(self, change):
        """Guards against servers that a malformed heartbeat registers."""
        with pytest.raises(InvalidHeartbeatError):
            ServerCalls().decode(
                post("/api/instances/i-1/heartbeat", {**HEARTBEAT, **change})
            )

    def test_a_deregistration_with_a_number_too_large_is_a_typed_error(self):
        """Guards against values that no message between nodes can carry."""
        with pytest.raises(InvalidHeartbeatError):
            ServerCalls().decode(
                post("/api/instances/i-1/deregister", {"born": 10**26})
            )

    @pytest.mark.parametrize("action", ["heartbeat", "deregister"])
    def test_a_deeply_nested_body_is_a_typed_error(self, action):
        """Guards against a listener that fails on an unexpected error."""
        body = b'{"x":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        with pytest.raises(InvalidHeartbeatError):
            ServerCalls().decode(post(f"/api/instances/i-1/{action}", body))

    def test_undecodable_bytes_are_a_typed_error(self):
        """Guards against a listener that fails on undecodable bytes."""
        with pytest.raises(InvalidHeartbeatError):
            ServerCalls().decode(
                post("/api/instances/i-1/heartbeat", b"\xff\x00")
            )

    def test_other_paths_are_not_calls(self):
        """Guards against a success status for an unknown call."""
        calls = ServerCalls()
        assert calls.decode(post("/api/other", HEARTBEAT)) is None
        assert calls.decode(post("/api/instances/i-1/renew", HEARTBEAT)) is None
        assert (
            calls.decode(post("/api/instances//heartbeat", HEARTBEAT)) is None
        )
