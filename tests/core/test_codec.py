"""Tests of the codecs of records and messages."""

import pytest
from vanillamast_core import CodecError
from vanillamast_core.configuration import Service, SetService
from vanillamast_core.journal import Publish, record_codec
from vanillamast_core.moves import EvidenceCell, Side
from vanillamast_core.peers import Evidence, message_codec


class TestUnionCodec:
    """Encoding and decoding of registered structs."""

    def test_record_round_trip(self):
        """Guards against a record that loses its kind or a field."""
        change = SetService("browse", Service(version="1"))
        record = Publish(id="a", based_on=3, changes=(change,), label="x")
        assert record_codec.decode(record_codec.encode(record)) == record

    def test_message_round_trip(self):
        """Guards against nested structs that change when encoded."""
        cell = EvidenceCell(
            move=1,
            route="chapter",
            failure_domain="a",
            bucket=2,
            side=Side.NEW,
            latency={3: 4},
        )
        message = Evidence((cell,))
        assert message_codec.decode(message_codec.encode(message)) == message

    @pytest.mark.parametrize("data", [b"", b"\xc1", b"\x91\xcd\x27\x10"])
    def test_malformed_bytes_are_a_codec_error(self, data: bytes):
        """Guards against malformed bytes of a peer raising another error."""
        with pytest.raises(CodecError):
            message_codec.decode(data)
