"""Tests with backend servers that send bytes without end."""

import asyncio
import gc
import tracemalloc

import pytest

from tests.node.proxy.proxy_fixture import eventually, run_proxy
from tests.node.proxy.scripted_backend import ScriptedBackend, ScriptedExchange

# What a whole node may use.
MEMORY_TARGET_BYTES = 64 * 1024 * 1024
DEADLINE_S = 1.0
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Start of a response, and the bytes that follow again and again.
FLOODS = {
    "status line": (b"HTTP/1.1 200 ", b"O" * 65536),
    "field": (b"HTTP/1.1 200 OK\r\nX: ", b"O" * 65536),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n" * 4096),
    "interim responses": (b"", b"HTTP/1.1 103 Early\r\nX: 1\r\n\r\n" * 2048),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
    "chunks": (CHUNKED, b"1\r\nx\r\n" * 8192),
    "chunk extension": (CHUNKED + b"1;", b"x" * 65536),
    "trailer": (CHUNKED + b"0\r\n", b"X-Field: value\r\n" * 4096),
    "body of a refusal": (
        b"HTTP/1.1 503 X\r\nvanillamast-not-run: 1\r\n"
        b"Content-Length: 1000000000000\r\n\r\n",
        b"x" * 65536,
    ),
}


class TestBytesWithoutEnd:
    """A faulty server costs its own request and nothing else."""

    @pytest.mark.parametrize("part", FLOODS)
    async def test_memory_is_flat_and_the_connection_ends(
        self, part: str
    ) -> None:
        """Guards against a process that keeps all that a server sends.

        The caller does not read, so the node cannot pass the bytes on.
        """
        head, repeated = FLOODS[part]
        closed = asyncio.Event()

        async def flood(exchange: ScriptedExchange) -> None:
            if b"/flood" not in exchange.head:
                await exchange.read_body()
                await exchange.send_response()
                return
            try:
                await exchange.send(head)
                while True:
                    await exchange.send(repeated)
                    await asyncio.sleep(0)
            finally:
                closed.set()

        async with (
            ScriptedBackend(flood) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            other = await proxy.connect_caller()
            gc.collect()
            tracemalloc.start()
            try:
                await caller.send(
                    b"POST /flood HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
                    b"vanillamast-deadline-ms: %d\r\n\r\n" % (DEADLINE_S * 1000)
                )
                assert (await other.call("GET", "/")).status == 200
                await asyncio.sleep(DEADLINE_S)
                peak = tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()
            assert peak < MEMORY_TARGET_BYTES
            caller.writer.close()
            await eventually(lambda: proxy.router.in_flight() == 0)
            await eventually(closed.is_set)
