"""Tests of long data that is written in pieces."""

import asyncio
import tracemalloc

import pytest
from vanillamast_sidecar.http.transport_writer import (
    PIECE_BYTES,
    TransportWriter,
)

HOST = "127.27.0.2"
LONG_BYTES = 32 * PIECE_BYTES


class Sender(asyncio.Protocol):
    """A connection that writes with a `TransportWriter`."""

    def __init__(self):
        self.writer = TransportWriter()

    def connection_made(self, transport):
        """Gives the writer its transport."""
        self.writer.transport = transport

    def connection_lost(self, error):
        """Ends the writer."""
        self.writer.close()

    def pause_writing(self):
        """Pauses the writer."""
        self.writer.pause()

    def resume_writing(self):
        """Resumes the writer."""
        self.writer.resume()


@pytest.fixture
async def pair():
    """Returns a sender and the reader of its connection."""
    accepted = asyncio.get_running_loop().create_future()

    def accept(reader, writer):
        accepted.set_result((reader, writer))

    server = await asyncio.start_server(accept, HOST, 0, limit=PIECE_BYTES)
    port = server.sockets[0].getsockname()[1]
    _, sender = await asyncio.get_running_loop().create_connection(
        Sender, HOST, port
    )
    reader, writer = await accepted
    yield sender, reader
    writer.close()
    server.close()


class TestTransportWriter:
    """Data arrives whole, in order and without further copies."""

    async def test_short_data_follows_long_data(self, pair):
        """Guards against a message in the middle of another one."""
        sender, reader = pair
        sent = [
            b"a" * 10,
            b"b" * LONG_BYTES,
            b"c" * 10,
            b"d" * LONG_BYTES,
            b"e",
        ]
        for data in sent:
            sender.writer.write(data)
        whole = b"".join(sent)
        received = await asyncio.wait_for(reader.readexactly(len(whole)), 20.0)
        assert received == whole
        assert not sender.writer.waiting

    async def test_long_data_is_not_copied(self, pair):
        """Guards against a copy of a body in the buffer of a slow peer."""
        sender, reader = pair
        data = bytes(LONG_BYTES)
        tracemalloc.start()
        try:
            sender.writer.write(data)
            await asyncio.sleep(0.05)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        # A part waits in the transport and in the reader.
        assert peak < 8 * PIECE_BYTES
        await asyncio.wait_for(reader.readexactly(LONG_BYTES), 20.0)

    async def test_a_lost_connection_drops_what_waits(self, pair):
        """Guards against memory that a lost peer holds."""
        sender, _ = pair
        sender.writer.write(bytes(LONG_BYTES))
        sender.writer.transport.abort()
        await asyncio.sleep(0.05)
        assert not sender.writer.waiting
        sender.writer.write(b"late")
