"""Tests of the connections that others open to a node."""

import asyncio
import struct

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from vanillamast_sidecar.mesh import peer_server
from vanillamast_sidecar.mesh.frame_codec import (
    MAX_FIRST_FRAME_BYTES,
    make_frame,
)
from vanillamast_sidecar.mesh.inbound_limiter import InboundLimiter
from vanillamast_sidecar.mesh.messages import Ping
from vanillamast_sidecar.mesh.peer_server import PeerServer

HOST = "127.27.0.3"


class Connection:
    """Stands for a connection of a node."""

    transport = None

    def close(self):
        """Closes the connection."""


class LimiterMachine(RuleBasedStateMachine):
    """The limiter against a list of connections."""

    @initialize(limit=st.integers(1, 4))
    def start(self, limit):
        """Starts without connections."""
        self.limiter = InboundLimiter()
        self.limiter.max_connections = limit
        self.known = []  # Pairs of a connection and whether it was greeted.

    @rule()
    def add(self):
        """Opens a connection; the oldest stranger goes beyond the limit."""
        connection = Connection()
        self.limiter.add(connection)
        self.known.append([connection, False])
        if len(self.known) > self.limiter.max_connections:
            self.known.remove(next(pair for pair in self.known if not pair[1]))

    @rule(index=st.integers(0, 3))
    def greet(self, index):
        """A connection sends its hello."""
        if index < len(self.known):
            self.known[index][1] = True
            self.limiter.greet(self.known[index][0])

    @rule(index=st.integers(0, 3))
    def remove(self, index):
        """A connection ends."""
        if index < len(self.known):
            self.limiter.remove(self.known.pop(index)[0])

    @invariant()
    def same(self):
        """Greeted connections are never closed for others."""
        if hasattr(self, "limiter"):
            assert self.limiter.open == {pair[0] for pair in self.known}
            assert list(self.limiter.strangers) == [
                pair[0] for pair in self.known if not pair[1]
            ]


TestFuzzLimiter = LimiterMachine.TestCase


class TestStrangers:
    """A connection without a hello takes little and ends soon."""

    @pytest.mark.parametrize(
        "data",
        [
            struct.pack(">I", MAX_FIRST_FRAME_BYTES + 1),
            bytes(make_frame(Ping())),
            b"",
        ],
        ids=["long_frame", "no_hello", "silent"],
    )
    async def test_it_is_closed(self, data, monkeypatch):
        """Guards against memory and descriptors that strangers keep."""
        monkeypatch.setattr(peer_server, "HELLO_TIMEOUT_S", 0.2)
        limiter = InboundLimiter()
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: PeerServer(
                None, None, lambda *_: None, lambda _: None, limiter
            ),
            HOST,
            0,
        )
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(data)
        with pytest.raises(ConnectionResetError):
            await asyncio.wait_for(reader.read(), 5.0)
        assert not limiter.open
        writer.close()
        server.close()
