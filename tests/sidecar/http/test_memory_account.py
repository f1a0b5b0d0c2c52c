"""Tests of what clients may cost the process, and of its connections."""

import asyncio
import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_sidecar.http.caller_limits import CallerLimits
from vanillamast_sidecar.http.connection_limits import (
    FILE_FDS,
    get_connection_limits,
)
from vanillamast_sidecar.http.http_listener import HttpListener
from vanillamast_sidecar.http.http_message import HttpResponse
from vanillamast_sidecar.http.memory_account import (
    SMALL_BYTES,
    SMALL_PART,
    MemoryAccount,
)
from vanillamast_sidecar.http.memory_costs import (
    CONNECTION_BYTES,
    get_memory_room,
    get_request_cost,
)

MB = 1 << 20
HOST = "127.27.0.2"
LEGAL_HEAD = b"GET / HTTP/1.1\r\nHost: x\r\n"
LEGAL_HEAD += b"a:\r\n" * ((16_384 - len(LEGAL_HEAD) - 2) // 4) + b"\r\n"

actions = st.lists(
    st.tuples(
        st.sampled_from(
            [
                b"GET / HTTP/1.1\r\n",
                b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n",
                b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                b"POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n",
                b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
                b"a:\r\n" * 100,
                b"5\r\nhello\r\n",
                b"0\r\n",
                b"\r\n",
                b"x" * 3000,
                "close",
                "end",
            ]
        ),
        st.integers(0, 3),
    ),
    max_size=30,
)


class TestMemoryAccount:
    """The account against the sum of what was taken."""

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(-90_000, 90_000))))
    def test_it_is_the_sum_of_what_is_held(self, steps):
        """Guards against holders that together exceed the limit."""
        account = MemoryAccount(200_000)
        held = [0, 0, 0, 0]
        for holder, size in steps:
            if size < 0:
                size = min(-size, held[holder])
                account.release(size)
                held[holder] -= size
                continue
            limit = 200_000
            if held[holder] + size > SMALL_BYTES:
                limit -= limit // SMALL_PART
            fits = sum(held) + size <= limit
            assert account.try_charge(size, held[holder]) == fits
            held[holder] += size if fits else 0
            assert account.used == sum(held)

    def test_the_largest_legal_request_fits_the_reference_machine(self):
        """Guards against a published limit that no request can use."""
        limits = CallerLimits()
        account = MemoryAccount(get_memory_room(300 * MB))
        cost = get_request_cost(
            limits.header_bytes // 4, limits.header_bytes, limits.body_bytes
        )
        # Beside it, a hundred ordinary requests are read.
        assert account.try_charge(100 * get_request_cost(30, 1500, 0), 0)
        assert account.try_charge(cost, CONNECTION_BYTES)

    @pytest.mark.parametrize("max_fds", [1, 256, 1000, 4100])
    def test_connections_leave_descriptors_for_files(self, max_fds):
        """Guards against clients that take the descriptors of the store."""
        limits = get_connection_limits(max_fds)
        accepted = limits.callers + limits.peers + 3 * limits.small
        assert accepted < max(21, max_fds - FILE_FDS)


async def until(check):
    """Waits until a check holds; a timeout fails the test."""
    async with asyncio.timeout(5.0):
        while not check():
            await asyncio.sleep(0.001)


async def handle(request, arrived_at):
    """Answers after a moment."""
    await asyncio.sleep(0)
    return HttpResponse(200, [], b"ok" * 100)


class TestListener:
    """What the connections of a listener hold."""

    async def test_a_legal_head_of_short_lines_is_served(self):
        """Guards against a legal request that is refused in calm."""
        account = MemoryAccount(get_memory_room(80 * MB))
        listener = HttpListener(handle, account=account)
        server = await listener.listen(HOST, 0)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(LEGAL_HEAD)
        assert b" 200 " in await asyncio.wait_for(reader.readline(), 5.0)
        writer.close()
        await until(lambda: not listener.connections)
        assert account.used == 0
        server.close()

    @given(actions)
    def test_all_that_clients_hold_is_returned(self, steps):
        """Guards against an account that fills up with ended requests."""
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        account = MemoryAccount(120_000)
        listener = HttpListener(handle, account=account, max_connections=3)
        server = await listener.listen(HOST, 0)
        port = server.sockets[0].getsockname()[1]
        writers = {}
        for action, number in steps:
            if number not in writers:
                _, writers[number] = await asyncio.open_connection(HOST, port)
            writer = writers[number]
            if action == "close":
                writers.pop(number).transport.abort()
            elif action == "end":
                # The listener may have reset the connection.
                with contextlib.suppress(OSError):
                    writer.write_eof()
                writers.pop(number).close()
            elif not writer.transport.is_closing():
                writer.write(action)
            await asyncio.sleep(0)
            held = sum(c.charged for c in listener.connections)
            assert account.used == held
            assert len(listener.connections) <= 3
        for writer in writers.values():
            writer.transport.abort()
        await until(lambda: not listener.connections)
        assert account.used == 0
        assert listener.body_budget.used == 0
        assert not listener.unserved
        server.close()

    async def test_an_idle_stranger_makes_room_for_a_new_client(self):
        """Guards against connections that keep ordinary callers out."""
        limits = []
        listener = HttpListener(
            handle,
            max_connections=2,
            on_limit=lambda kind, transport: limits.append(kind),
        )
        server = await listener.listen(HOST, 0)
        port = server.sockets[0].getsockname()[1]
        oldest, *others = [
            await asyncio.open_connection(HOST, port) for _ in range(3)
        ]
        await until(lambda: limits == ["connections"])
        # None has sent a request, so the oldest one is closed.
        assert await asyncio.wait_for(oldest[0].read(), 5.0) == b""
        for reader, writer in others:
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert b" 200 " in await asyncio.wait_for(reader.readline(), 5.0)
            writer.close()
        server.close()
