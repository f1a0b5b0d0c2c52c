"""Tests of backpressure, idempotency keys and the planned stop."""

import asyncio
import gc
import json

import pytest
from vanillamast_core.peers import KeyAnswer, KeyState
from vanillamast_node import ForwardingSettings
from vanillamast_node.forwarded_call import ForwardedCall

from tests.node.proxy.proxy_fixture import eventually, run_proxy
from tests.node.proxy.scripted_backend import ScriptedBackend, ScriptedExchange

PIECE = b"x" * 65_536
PIECES = 400  # 26 MB, far more than all buffers on the path hold.


class TestBackpressure:
    """Slow readers on either side."""

    async def test_slow_caller_slows_the_backend_server(self) -> None:
        """Guards against holding whole responses in memory."""
        sent = 0

        async def large(exchange: ScriptedExchange) -> None:
            nonlocal sent
            await exchange.read_body()
            length = len(PIECE) * PIECES
            await exchange.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length
            )
            for _ in range(PIECES):
                await exchange.send(PIECE)
                sent += 1

        async with (
            ScriptedBackend(large) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            await caller.send(b"GET /patient HTTP/1.1\r\nHost: x\r\n\r\n")
            await caller.reader.readuntil(b"\r\n\r\n")
            before = -1
            while before != sent:
                before = sent
                await asyncio.sleep(0.1)
            assert sent < PIECES
            await caller.reader.readexactly(len(PIECE) * PIECES)
            await eventually(lambda: proxy.router.in_flight() == 0)

    async def test_slow_backend_server_slows_the_caller(self) -> None:
        """Guards against holding whole request bodies in memory."""
        read = asyncio.Event()

        async def slow(exchange: ScriptedExchange) -> None:
            await read.wait()
            body = await exchange.read_body()
            await exchange.send_response(b"%d" % len(body))

        size = len(PIECE) * PIECES
        settings = ForwardingSettings(body_bytes=size)
        async with (
            ScriptedBackend(slow) as backend,
            run_proxy(backend, settings=settings) as proxy,
        ):
            caller = await proxy.connect_caller()
            await caller.send(
                b"POST /patient HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: %d\r\n\r\n" % size
            )
            caller.writer.write(b"x" * size)
            transport = caller.writer.transport
            before = -1
            while before != transport.get_write_buffer_size():
                before = transport.get_write_buffer_size()
                await asyncio.sleep(0.1)
            assert transport.get_write_buffer_size() > 0
            read.set()
            assert (await caller.read_response()).body == b"%d" % size

    async def test_first_bytes_are_not_delayed(self) -> None:
        """Guards against buffering a response until it is complete."""
        release = asyncio.Event()

        async def pieces(exchange: ScriptedExchange) -> None:
            await exchange.read_body()
            await exchange.send(
                b"HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n"
                % exchange.id_line
            )
            await exchange.send(b"3\r\nabc\r\n")
            await release.wait()
            await exchange.send(b"3\r\ndef\r\n0\r\n\r\n")

        async with (
            ScriptedBackend(pieces) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            await caller.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await caller.reader.readuntil(b"abc\r\n")
            release.set()
            assert (await caller.reader.readuntil(b"0\r\n\r\n"))[3:6] == b"def"
            await eventually(lambda: proxy.router.in_flight() == 0)
            assert (await caller.call("GET", "/")).body == b"abcdef"
            assert backend.connections == 1

    async def test_early_answer_to_an_unfinished_body(self) -> None:
        """Guards against reusing a connection with an unfinished body."""
        calls = 0

        async def impatient(exchange: ScriptedExchange) -> None:
            nonlocal calls
            calls += 1
            if calls > 1:
                await exchange.read_body()
            await exchange.send_response(b"early" if calls == 1 else b"ok")

        async with (
            ScriptedBackend(impatient) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc"
            )
            assert (await caller.read_response()).body == b"early"
            other = await proxy.connect_caller()
            answer = await other.call("POST", "/", body=b"y")
            assert answer.body == b"ok"
            assert backend.ran[0].body == b"y"
            assert backend.connections == 2


class TestMemory:
    """Memory that is kept after a request."""

    async def test_requests_leave_no_cycles(self) -> None:
        """Guards against garbage collections caused by requests."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            gc.collect()
            gc.disable()
            try:
                for _ in range(20):
                    await caller.call("GET", "/")
                    await caller.call("POST", "/", "Idempotency-Key: k\r\n")
                await eventually(lambda: len(proxy.settled) == 20)
                left = [
                    o for o in gc.get_objects() if isinstance(o, ForwardedCall)
                ]
            finally:
                gc.enable()
            assert len(left) <= 1


class TestKeys:
    """Idempotency keys at the first hop."""

    async def test_claim_and_settle(self) -> None:
        """Guards against running a keyed post without its claim."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            answer = await caller.call("POST", "/", "Idempotency-Key: k\r\n")
            assert answer.status == 200
            await eventually(lambda: proxy.settled)
            assert proxy.settled[0].status == 200
            assert proxy.settled[0].claim_id == proxy.claims[0].claim_id
            await caller.call("GET", "/", "Idempotency-Key: k\r\n")
            assert len(proxy.claims) == 1

    @pytest.mark.parametrize(
        ("state", "status", "kind"),
        [
            (KeyState.RUNNING, 409, "key_running"),
            (KeyState.RAN, 409, "key_ran"),
            (KeyState.UNCLEAR, 503, "key_unclear"),
            (None, 503, "key_unclear"),
        ],
    )
    async def test_claim_not_granted(
        self, state: KeyState | None, status: int, kind: str
    ) -> None:
        """Guards against a second run, and against stating that none ran."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            proxy.key_answer = None if state is None else KeyAnswer(state, 201)
            caller = await proxy.connect_caller()
            answer = await caller.call("POST", "/", "Idempotency-Key: k\r\n")
            assert answer.status == status
            assert answer.field("vanillamast-refusal") == kind
            assert json.loads(answer.body)["not_run"] is False
            assert backend.request_heads == []
            if state is None:
                await eventually(lambda: proxy.settled)
                assert proxy.settled[0].status == 0

    async def test_lost_response_settles_as_unclear(self) -> None:
        """Guards against granting a key again after a possible run."""

        async def reset_after_body(exchange: ScriptedExchange) -> None:
            await exchange.read_body()
            exchange.close(reset=True)

        async with (
            ScriptedBackend(reset_after_body) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            answer = await caller.call("POST", "/", "Idempotency-Key: k\r\n")
            assert answer.status == 502
            await eventually(lambda: proxy.settled)
            assert proxy.settled[0].status == -1


class TestDrain:
    """The planned stop."""

    async def test_requests_in_flight_finish(self) -> None:
        """Guards against a stop that interrupts requests."""
        release = asyncio.Event()

        async def slow(exchange: ScriptedExchange) -> None:
            await exchange.read_body()
            await release.wait()
            await exchange.send_response()

        async with (
            ScriptedBackend(slow) as backend,
            run_proxy(backend) as proxy,
        ):
            callers = [await proxy.connect_caller() for _ in range(3)]
            idle = await proxy.connect_caller()
            calls = [
                asyncio.create_task(caller.call("POST", "/"))
                for caller in callers
            ]
            await eventually(lambda: len(backend.request_heads) == 3)
            drain = asyncio.create_task(proxy.listener.drain(0.0, 15.0))
            assert await idle.reader.read() == b""
            with pytest.raises(ConnectionError):
                await proxy.connect_caller()
            release.set()
            for answer in await asyncio.gather(*calls):
                assert answer.status == 200
            assert await drain == []

    async def test_draining_closes_caller_connections(self) -> None:
        """Guards against requests on a connection that the node is closing."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            answer = await caller.call("GET", "/")
            assert answer.field("connection") is None
            drain = asyncio.create_task(proxy.listener.drain(15.0, 0.0))
            await asyncio.sleep(0)
            answer = await caller.call("GET", "/")
            assert answer.field("connection") == "close"
            assert await caller.reader.read() == b""
            late = await proxy.connect_caller()
            assert (await late.call("GET", "/")).status == 200
            drain.cancel()

    async def test_requests_that_cannot_end_do_not_start(self) -> None:
        """Guards against late requests that are cut at the end of a stop."""

        async def freeze(exchange: ScriptedExchange) -> None:
            await exchange.closed_by_peer()

        async with (
            ScriptedBackend(freeze) as backend,
            run_proxy(backend) as proxy,
        ):
            late = await proxy.connect_caller()
            early = await proxy.connect_caller()
            drain = asyncio.create_task(proxy.listener.drain(0.6, 0.4))
            await asyncio.sleep(0)
            refused = await late.call(
                "POST", "/", "vanillamast-deadline-ms: 1500\r\n"
            )
            assert (refused.status, refused.field("vanillamast-refusal")) == (
                503,
                "stopping",
            )
            assert not backend.request_heads
            accepted = await early.call(
                "POST", "/", "vanillamast-deadline-ms: 500\r\n"
            )
            assert accepted.status == 504
            assert await drain == []

    async def test_interrupted_requests_are_reported(self) -> None:
        """Guards against a stop that hides what it interrupted."""

        async def freeze(exchange: ScriptedExchange) -> None:
            await exchange.closed_by_peer()

        async with (
            ScriptedBackend(freeze) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
            )
            await eventually(lambda: backend.request_heads)
            interrupted = await proxy.listener.drain(0.0, 0.0)
            assert [(c.route, c.phase) for c in interrupted] == [
                ("posts", "sent")
            ]
            assert await caller.reader.read() == b""
