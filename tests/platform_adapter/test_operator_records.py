"""Tests of the records that the operator writes and reads."""

import json

import pytest
from vanillamast_platform.operator_records import (
    decode_config,
    decode_move_spec,
    decode_move_status,
    encode_move_status,
)
from vanillamast_sidecar.errors import InvalidConfigurationError
from vanillamast_sidecar.operator_state.snapshot import WarmUp
from vanillamast_sidecar.organisations.organisation import Organisation
from vanillamast_sidecar.rollouts.move_spec import MoveSpec
from vanillamast_sidecar.rollouts.move_state import MoveState

CONFIG = {
    "version": 7,
    "unknown": 1,
    "resources": [
        {
            "entry_type": "routes",
            "metadata": {"name": "split"},
            "spec": {
                "host": "A.example",
                "path_prefix": "/a/",
                "kind": "idempotent",
                "timeout_s": 0.8,
                "target_latency_s": 0.4,
                "priority": 2,
                "max_attempts": 2,
                "traffic_split": [
                    {"service": "x", "weight": 90},
                    {"service": "y", "weight": 10},
                ],
            },
        },
        {
            "entry_type": "routes",
            "metadata": {"name": "post"},
            "spec": {
                "host": "b.example",
                "path_prefix": "/b/",
                "kind": "non_idempotent",
                "timeout_s": 1,
                "service": "x",
            },
        },
        {
            "entry_type": "services",
            "metadata": {"name": "x"},
            "spec": {"max_conns": 120, "health_path": "/health"},
        },
        {
            "entry_type": "limits",
            "metadata": {},
            "spec": {"header_bytes": 100, "idle_timeout_s": 9},
        },
        {"entry_type": "later", "metadata": {}, "spec": {}},
    ],
}


class TestDecodeConfig:
    """A configuration is decoded completely or is a typed error."""

    def test_routes_services_and_limits(self):
        """Guards against fields that are read under a wrong name."""
        snapshot = decode_config(json.dumps(CONFIG).encode())
        split, post = snapshot.routes
        assert snapshot.version == 7
        assert split.host == "a.example"
        assert split.split == (("x", 90.0), ("y", 10.0))
        assert split.idempotent
        assert not post.idempotent
        assert post.split == (("x", 1.0),)
        assert snapshot.connection_limits == {"x": 120}
        assert snapshot.limits.header_bytes == 100
        assert snapshot.limits.idle_timeout_s == 9.0

    @pytest.mark.parametrize(
        "damage",
        [
            lambda raw: raw[:-20],
            lambda raw: b"",
            lambda raw: raw.replace(b'"version": 7', b'"version": "7x"'),
            lambda raw: raw.replace(b'"timeout_s": 1', b'"timeout_s": "no"'),
            lambda raw: raw.replace(b'"path_prefix": "/b/", ', b""),
        ],
    )
    def test_a_damaged_configuration_is_a_typed_error(self, damage):
        """Guards against a configuration that is applied in part."""
        with pytest.raises(InvalidConfigurationError):
            decode_config(damage(json.dumps(CONFIG).encode()))


ORGANISATION = {
    "entry_type": "tenants",
    "metadata": {"name": "acme"},
    "spec": {
        "api_keys": ["secret-one", "secret-two"],
        "priority": 0,
        "rate_per_s": 75,
        "burst": 15,
    },
}
COLD_SERVICE = {
    "entry_type": "services",
    "metadata": {"name": "y"},
    "spec": {"cold_s": 3.0, "warmup_per_s": 7.0},
}


class TestOrganisations:
    """Organisations, routes without keys and warm-up rates."""

    def test_all_fields_are_decoded(self):
        """Guards against caps or keys that are lost on the way in."""
        resources = [*CONFIG["resources"], ORGANISATION, COLD_SERVICE]
        route = json.loads(json.dumps(CONFIG["resources"][0]))
        route["spec"] |= {"no_auth": True, "kind": "download"}
        raw = json.dumps({"version": 8, "resources": [*resources, route]})
        snapshot = decode_config(raw.encode())
        assert snapshot.organisations == (
            Organisation("acme", ("secret-one", "secret-two"), 0, 75.0, 15.0),
        )
        assert snapshot.warm_ups == {"y": WarmUp(3.0, 7.0)}
        assert [route.requires_key for route in snapshot.routes] == [
            True,
            True,
            False,
        ]
        assert snapshot.routes[2].idempotent

    def test_keys_are_not_shown(self):
        """Guards against keys in logs and error messages."""
        raw = json.dumps({"version": 8, "resources": [ORGANISATION]})
        assert "secret" not in repr(decode_config(raw.encode()))

    def test_a_fault_refuses_the_configuration_as_a_whole(self):
        """Guards against the other organisations of a faulty configuration."""
        shared = json.loads(json.dumps(ORGANISATION))
        shared["metadata"]["name"] = "bolt"
        mistyped = json.loads(json.dumps(ORGANISATION))
        mistyped["spec"]["api_keys"] = ["secret-three", 5]
        for resources in ([ORGANISATION, shared], [mistyped]):
            raw = json.dumps({"version": 8, "resources": resources})
            with pytest.raises(InvalidConfigurationError) as caught:
                decode_config(raw.encode())
            assert "acme" in str(caught.value)
            assert "secret" not in repr(caught.value)


class TestMoveRecords:
    """Specs and states of moves."""

    def test_states_are_decoded_as_encoded(self):
        """Guards against a restarted node that reads another state."""
        spec = decode_move_spec(b'{"service":"s","to":"v2","over_s":12}', 5)
        assert spec == MoveSpec("s", "v2", 12.0, 5)
        for state in MoveState:
            raw = encode_move_status(spec, state)
            assert decode_move_status(raw) == (state, "v2", 5)
            assert json.loads(raw)["state"] == state.value

    @pytest.mark.parametrize("raw", [b"", b"[]", b'{"service":"s"}'])
    def test_a_damaged_spec_is_a_typed_error(self, raw):
        """Guards against a move of a service that the operator did not name."""
        with pytest.raises(InvalidConfigurationError):
            decode_move_spec(raw, 1)
