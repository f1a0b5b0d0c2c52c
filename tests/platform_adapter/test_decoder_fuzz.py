"""Fuzz of what the adapter decodes: malformed input is a typed error."""

import contextlib
import json
import math

from hypothesis import given
from hypothesis import strategies as st
from vanillamast_platform.boot_file import load_settings
from vanillamast_platform.log_records import parse_read_answer
from vanillamast_platform.operator_records import (
    decode_config,
    decode_move_spec,
    decode_move_status,
)
from vanillamast_platform.server_calls import ServerCalls
from vanillamast_sidecar.errors import (
    InvalidConfigurationError,
    InvalidHeartbeatError,
    InvalidSettingsError,
)
from vanillamast_sidecar.http.http_message import HttpRequest
from vanillamast_sidecar.membership.heartbeat import Heartbeat
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.membership.server_registry import ServerRegistry
from vanillamast_sidecar.mesh.frame_codec import make_frame
from vanillamast_sidecar.mesh.messages import Records

FIELDS = [
    "service",
    "addr",
    "version",
    "max_concurrency",
    "state",
    "sequence",
    "cold_left_s",
    "born",
]
scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(max_size=12),
    st.sampled_from(
        ["ready", "draining", "10.0.0.1:80", "10.0.0.1:x", "10.0.0.1", ":", ""]
    ),
)
values = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=6), inner, max_size=3),
    ),
    max_leaves=6,
)
heartbeats = st.fixed_dictionaries(
    {
        "service": st.just("s"),
        "addr": st.just("10.0.0.1:80"),
        "version": st.just("v1"),
        "max_concurrency": st.just(4),
        "state": st.just("ready"),
        "sequence": st.just(1),
    }
).flatmap(
    lambda valid: st.dictionaries(
        st.sampled_from(FIELDS), scalars, max_size=3
    ).map(lambda changes: {**valid, **changes})
)
resources = st.lists(
    st.fixed_dictionaries(
        {
            "entry_type": st.sampled_from(
                ["routes", "services", "limits", "tenants", "x"]
            ),
            "metadata": st.one_of(values, st.just({"name": "r"})),
            "spec": values,
        }
    ),
    max_size=3,
)
configs = st.fixed_dictionaries({"version": scalars, "resources": resources})


def record_of(heartbeat: Heartbeat) -> InstanceRecord:
    """Returns the record that a heartbeat leads to."""
    registry = ServerRegistry(1.0)
    registry.handle_heartbeat(heartbeat, 0.0)
    assert registry.current is not None
    return registry.current


def as_json(value: object) -> bytes:
    """Encodes a value, also one that JSON does not allow."""
    return json.dumps(value).encode()


class TestHeartbeats:
    """A heartbeat of any content names a usable server or is refused."""

    def check(self, body: bytes) -> None:
        """Decodes a heartbeat and checks what it names."""
        request = HttpRequest("POST", "/api/instances/i-1/heartbeat", [], body)
        try:
            call = ServerCalls().decode(request)
        except InvalidHeartbeatError:
            return
        assert isinstance(call, Heartbeat)
        host, _, port = call.address.rpartition(":")
        assert host and 0 < int(port) < 65536
        assert call.slots >= 1
        assert 0.0 <= call.cold_s < math.inf
        assert call.service
        # Messages between nodes must be able to carry the values.
        make_frame(
            Records([NodeRecord("a", "d", 1, 1, False, record_of(call))])
        )

    @given(heartbeats)
    def test_heartbeats_with_other_values(self, heartbeat):
        """Guards against a heartbeat that stops the node's work."""
        self.check(as_json(heartbeat))

    @given(st.binary(max_size=200))
    def test_heartbeats_of_any_bytes(self, body):
        """Guards against an error that is not expected."""
        self.check(body)


class TestRecords:
    """Records of any content are decoded or refused with a typed error."""

    @given(st.one_of(st.binary(max_size=200), configs.map(as_json)))
    def test_configurations(self, raw):
        """Guards against a record that ends the reading of the store."""
        with contextlib.suppress(InvalidConfigurationError):
            decode_config(raw)

    @given(st.one_of(st.binary(max_size=200), values.map(as_json)))
    def test_moves(self, raw):
        """Guards against a record that ends the reading of the store."""
        with contextlib.suppress(InvalidConfigurationError):
            decode_move_spec(raw, 1)
        with contextlib.suppress(InvalidConfigurationError):
            decode_move_status(raw)

    @given(st.binary(max_size=200))
    def test_read_answers(self, body):
        """Guards against an answer that ends the reading of the store."""
        with contextlib.suppress(ValueError):
            parse_read_answer(body)


class TestSettings:
    """A settings file of any content is read or refused."""

    @given(st.binary(max_size=300))
    def test_settings_of_any_bytes(self, tmp_path_factory, content):
        """Guards against a file that ends the process."""
        path = tmp_path_factory.mktemp("settings") / "settings.toml"
        path.write_bytes(content)
        with contextlib.suppress(InvalidSettingsError):
            load_settings(str(path))
