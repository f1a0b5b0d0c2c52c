"""Tests of responses that are malformed, late, doubled or without end."""

import asyncio
import gc
import tracemalloc

import pytest
from vanillamast_sidecar.errors import (
    ConnectionLostError,
    MalformedResponseError,
    ResponseTimeoutError,
    ResponseTooLargeError,
)
from vanillamast_sidecar.http.arrival import Arrival
from vanillamast_sidecar.http.byte_budget import ByteBudget
from vanillamast_sidecar.http.client_connection import ClientConnection
from vanillamast_sidecar.http.response_limits import ResponseLimits

HOST = "127.26.0.1"
ID_FIELD = b"x-id"
LIMITS = ResponseLimits()
PIECE_BYTES = 65_536
SLOTS = 9
# Bytes that one connection may hold beyond its body: what the socket buffers
# and one read of the event loop, several times.
SLACK_BYTES = 2_097_152
HEAD = b"HTTP/1.1 200 OK\r\n"
# What a faulty server sends first, and then again and again.
FLOODS = {
    "status line": (b"HTTP/1.1 200 ", b"x" * PIECE_BYTES),
    "header field": (HEAD + b"X-Long: ", b"x" * PIECE_BYTES),
    "header fields": (HEAD, b"X-Field: value\r\n" * 1000),
    "body with a length": (
        HEAD + b"Content-Length: 1000000000000\r\n\r\n",
        b"x" * PIECE_BYTES,
    ),
    "body to the end": (HEAD + b"\r\n", b"x" * PIECE_BYTES),
    "chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * PIECE_BYTES + b"\r\n",
    ),
    "tiny chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"2\r\ny\n\r\n" * 10_000,
    ),
    "chunk extension": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;",
        b"x" * PIECE_BYTES,
    ),
    "trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Field: value\r\n" * 1000,
    ),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
}


class Backend:
    """A server that answers each request with scripted bytes.

    Attributes:
      script: Coroutine function that answers one connection.
      port: Port that it listens on.
    """

    def __init__(self, script):
        self.script = script
        self.port = 0

    async def start(self) -> asyncio.Server:
        """Starts to listen."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _serve(self, reader, writer) -> None:
        try:
            await self.script(reader, writer)
        except ConnectionError:
            pass
        finally:
            writer.close()


@pytest.fixture
async def serve():
    """Starts backends and returns connections to them."""
    servers = []

    async def start(script, limits=LIMITS, budget=None) -> ClientConnection:
        backend = Backend(script)
        servers.append(await backend.start())
        connection = ClientConnection(ID_FIELD, limits, budget)
        await connection.open(HOST, backend.port, 2.0)
        return connection

    yield start
    for server in servers:
        server.close()


def flood(first: bytes, piece: bytes):
    """Returns a script that sends bytes until the connection is closed."""

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(first)
        while True:
            writer.write(piece)
            await writer.drain()

    return script


def answer(request_id: bytes, body: bytes) -> bytes:
    """Returns a complete response."""
    return b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s" % (
        request_id,
        len(body),
        body,
    )


async def ask(connection, request_id=b"1", timeout_s=20.0):
    """Sends a request."""
    return await connection.send_request(
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", timeout_s, request_id
    )


class TestBytesWithoutEnd:
    """A faulty server costs its own request and nothing else."""

    @pytest.mark.parametrize("part", FLOODS)
    async def test_the_connection_is_closed_at_the_limit(self, serve, part):
        """Guards against a process that keeps all that a server sends."""
        connection = await serve(flood(*FLOODS[part]))
        with pytest.raises(ResponseTooLargeError):
            await ask(connection)
        assert not connection.reusable
        assert connection.budget.used == 0

    @pytest.mark.parametrize(
        "names",
        [("chunks", "body to the end"), ("tiny chunks",)],
        ids=["large_pieces", "tiny_chunks"],
    )
    async def test_memory_is_flat_at_all_slots(self, serve, names):
        """Guards against a server that takes down the process beside it.

        A chunk of two bytes must not cost an object of its own.
        """
        limits = ResponseLimits(body_bytes=1_048_576, total_bytes=4_194_304)
        budget = ByteBudget(limits.total_bytes)
        parts = [FLOODS[name] for name in names]
        connections = [
            await serve(flood(*parts[n % len(parts)]), limits, budget)
            for n in range(SLOTS)
        ]
        gc.collect()
        tracemalloc.start()
        try:
            results = await asyncio.gather(
                *(ask(connection) for connection in connections),
                return_exceptions=True,
            )
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        assert {type(result) for result in results} == {ResponseTooLargeError}
        # Twice the budget: the received bytes and one copy at most.
        assert peak < 2 * limits.total_bytes + SLOTS * SLACK_BYTES
        assert budget.used == 0

    async def test_a_slow_trickle_ends_with_the_time(self, serve):
        """Guards against a slot that a trickle of bytes holds for ever."""

        async def trickle(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            while True:
                writer.write(b"X-Field: value\r\n")
                await asyncio.sleep(0.05)

        connection = await serve(trickle)
        with pytest.raises(ResponseTimeoutError):
            await ask(connection, timeout_s=0.3)
        assert not connection.reusable

    async def test_a_response_at_the_limit_is_taken(self, serve):
        """Guards against limits that refuse what they should allow."""

        async def script(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer(b"1", b"x" * LIMITS.body_bytes))
            await writer.drain()

        response = await ask(await serve(script))
        assert len(response.body) == LIMITS.body_bytes


class TestForeignBytes:
    """A caller gets its own whole response or a failure."""

    async def test_a_late_second_copy_is_not_the_next_response(self, serve):
        """Guards against a response that answers another request."""

        async def script(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer(b"1", b"first"))
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer(b"1", b"first") + answer(b"2", b"second"))
            await asyncio.sleep(1.0)

        connection = await serve(script)
        assert (await ask(connection, b"1")).body == b"first"
        assert (await ask(connection, b"2")).body == b"second"
        assert not connection.reusable

    async def test_bytes_on_an_idle_connection_close_it(self, serve):
        """Guards against a second copy that waits for the next request."""

        async def script(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer(b"1", b"first"))
            await asyncio.sleep(0.05)
            writer.write(b"\r\n" * 10)
            await asyncio.sleep(1.0)

        connection = await serve(script)
        await ask(connection)
        async with asyncio.timeout(5.0):
            while connection.is_usable(connection.loop.time(), 60.0):
                await asyncio.sleep(0.01)

    async def test_a_response_cut_in_its_head_is_a_failure(self, serve):
        """Guards against a success with the body that a cut head leaves.

        Without a length the end of the connection ends the body.
        """
        head = HEAD + b"X-Id: 1\r\nX-Field: value\r\n\r\n"
        for length in range(len(head)):

            async def script(reader, writer, length=length):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(head[:length])
                await writer.drain()

            with pytest.raises((ConnectionLostError, MalformedResponseError)):
                await ask(await serve(script))

    @pytest.mark.parametrize(
        "whole",
        [
            answer(b"1", b"body"),
            HEAD
            + b"X-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
            + b"4\r\nbody\r\n0\r\n\r\n",
        ],
    )
    async def test_a_response_cut_at_any_byte_is_a_failure(self, serve, whole):
        """Guards against a broken-off response that looks complete."""
        for length in range(len(whole)):

            async def script(reader, writer, length=length):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(whole[:length])
                await writer.drain()

            connection = await serve(script)
            with pytest.raises((ConnectionLostError, MalformedResponseError)):
                await ask(connection)


def respond(*lines: bytes):
    """Returns a script that answers with status lines, the last one final."""

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for line in lines[:-1]:
            writer.write(b"HTTP/1.1 %s\r\n\r\n" % line)
        writer.write(
            b"HTTP/1.1 %s\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok" % lines[-1]
        )
        await writer.drain()
        await reader.read()

    return script


class TestStatusCodes:
    """Final responses have a status of 200 to 599, interim ones 100 to 199."""

    @pytest.mark.parametrize(
        "lines",
        [
            (b"000 None",),
            (b"000 None", b"200 OK"),
            (b"099 None",),
            (b"099 None", b"200 OK"),
            (b"101 Switching Protocols",),
            (b"101 Switching Protocols", b"200 OK"),
            (b"103 Early Hints", b"101 Switching Protocols", b"200 OK"),
            (b"199 Wait",) * 100 + (b"200 OK",),
            (b"600 Odd",),
            (b"999 Odd",),
            (b"103 Early Hints", b"999 Odd"),
        ],
        ids=lambda lines: "-".join(line[:3].decode() for line in lines[:3]),
    )
    async def test_an_invalid_status_is_malformed(self, serve, lines):
        """Guards against statuses that no caller can understand."""
        connection = await serve(respond(*lines))
        with pytest.raises(MalformedResponseError):
            await ask(connection, timeout_s=2.0)
        assert not connection.reusable
        assert connection.budget.used == 0

    @pytest.mark.parametrize("status", [200, 204, 299, 404, 503, 599])
    async def test_a_valid_status_is_delivered(self, serve, status):
        """Guards against legal responses that are taken for malformed ones."""
        connection = await serve(
            respond(b"103 Early Hints", b"199 Wait", b"%d Some" % status)
        )
        response = await ask(connection, timeout_s=2.0)
        assert response.status == status


class TestArrival:
    """A long response takes as long as its bytes need on a slow link."""

    PIECES = 12
    PIECE = b"x" * 100
    TIMEOUT_S = 0.3
    PAUSE_S = 0.05
    # Each piece extends the time by far more than the pause before it.
    ARRIVAL = Arrival(TIMEOUT_S, 100.0)

    def respond(self, pieces: int):
        """Returns a script that sends some of the pieces and stops."""

        async def script(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            size = self.PIECES * len(self.PIECE)
            writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % size)
            for _ in range(pieces):
                await asyncio.sleep(self.PAUSE_S)
                writer.write(self.PIECE)
                await writer.drain()
            await asyncio.sleep(30.0)

        return script

    async def test_a_slow_response_is_read_to_its_end(self, serve):
        """Guards against reads that start over and never end."""
        connection = await serve(self.respond(self.PIECES))
        response = await connection.send_request(
            b"GET / HTTP/1.1\r\n\r\n", self.TIMEOUT_S, arrival=self.ARRIVAL
        )
        assert len(response.body) == self.PIECES * len(self.PIECE)

    async def test_a_stalled_response_is_given_up(self, serve):
        """Guards against a call that waits for ever for its last bytes."""
        connection = await serve(self.respond(1))
        with pytest.raises(ResponseTimeoutError):
            await connection.send_request(
                b"GET / HTTP/1.1\r\n\r\n",
                self.TIMEOUT_S,
                arrival=self.ARRIVAL,
            )

    async def test_a_response_that_never_begins_is_given_up(self, serve):
        """Guards against the time for a response that has not begun."""

        async def script(reader, writer):
            await asyncio.sleep(30.0)

        connection = await serve(script)
        with pytest.raises(ResponseTimeoutError):
            await connection.send_request(
                b"GET / HTTP/1.1\r\n\r\n",
                self.TIMEOUT_S,
                arrival=self.ARRIVAL,
            )
