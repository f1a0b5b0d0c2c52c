"""Tests of the callers' listener with raw bytes."""

import asyncio
import json

import pytest
from vanillamast_core.requests import RoutingDecision
from vanillamast_node import ForwardingSettings

from tests.node.proxy.proxy_fixture import Caller, eventually, run_proxy
from tests.node.proxy.scripted_backend import ScriptedBackend, ScriptedExchange


async def read_refusal(caller: Caller) -> tuple[int, str, bool]:
    """Reads a refusal; returns its status, kind and `not_run`."""
    answer = await caller.read_response()
    kind = answer.field("vanillamast-refusal")
    assert kind is not None
    assert json.loads(answer.body)["kind"] == kind
    return answer.status, kind, json.loads(answer.body)["not_run"]


class TestFraming:
    """How requests are delimited."""

    async def test_split_and_pipelined_requests(self) -> None:
        """Guards against losing or reordering requests of a connection."""

        async def echo(exchange: ScriptedExchange) -> None:
            body = await exchange.read_body()
            target = exchange.head.split(b" ", 2)[1]
            await exchange.send_response(target + b":" + body)

        async with (
            ScriptedBackend(echo) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            data = (
                b"GET /one HTTP/1.1\r\nHost: x\r\n\r\n"
                b"POST /two HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
                b"POST /three HTTP/1.1\r\nHost: x\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                b"2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
                b"GET /four HTTP/1.1\r\nHost: x\r\n\r\n"
            )
            for index in range(len(data)):
                await caller.send(data[index : index + 1])
            bodies = [(await caller.read_response()).body for _ in range(4)]
            assert bodies == [b"/one:", b"/two:abc", b"/three:def", b"/four:"]
            await caller.send(data)
            bodies = [(await caller.read_response()).body for _ in range(4)]
            assert bodies == [b"/one:", b"/two:abc", b"/three:def", b"/four:"]

    @pytest.mark.parametrize(
        "fields",
        [
            "Content-Length: 3\r\nContent-Length: 4\r\n",
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
            "Content-Length: 3, 4\r\n",
            "Content-Length: -3\r\n",
            "Content-Length: +3\r\n",
            "Transfer-Encoding: gzip\r\n",
            "Transfer-Encoding: chunked, gzip\r\n",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
            "Upgrade: h2c\r\nConnection: upgrade\r\nContent-Length: 3\r\n",
            "Bad Name: x\r\nContent-Length: 3\r\n",
            "vanillamast-deadline-ms: soon\r\nContent-Length: 3\r\n",
            "vanillamast-deadline-ms: nan\r\nContent-Length: 3\r\n",
            "Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 3\r\n",
        ],
    )
    async def test_conflicting_fields(self, fields: str) -> None:
        """Guards against request smuggling by ambiguous framing."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            head = f"POST / HTTP/1.1\r\nHost: x\r\n{fields}\r\n"
            smuggled = "GET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n"
            await caller.send((head + "abc" + smuggled).encode())
            assert await read_refusal(caller) == (400, "bad_request", True)
            assert await caller.reader.read() == b""
            assert backend.request_heads == []

    async def test_garbage_after_a_request(self) -> None:
        """Guards against an error message inside another response."""
        release = asyncio.Event()

        async def halves(exchange: ScriptedExchange) -> None:
            await exchange.read_body()
            await exchange.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc"
            )
            await release.wait()
            await exchange.send(b"def")

        async with (
            ScriptedBackend(halves) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            await caller.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await caller.reader.readuntil(b"abc")
            await caller.send(b"\x00garbage\r\n\r\n")
            await asyncio.sleep(0.02)
            release.set()
            assert await caller.reader.read() == b"def"

    async def test_malformed_chunk(self) -> None:
        """Guards against forwarding a malformed body as complete."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
                b"\r\n3\r\nabc\r\n"
            )
            await eventually(lambda: backend.request_heads)
            await caller.send(b"zz\r\n")
            status, kind, not_run = await read_refusal(caller)
            assert (status, kind, not_run) == (400, "bad_request", False)
            await eventually(lambda: not backend.tasks)
            assert backend.ran == []

    async def test_old_protocol_version(self) -> None:
        """Guards against a body whose end an HTTP/1.0 caller cannot see."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            await caller.send(b"GET / HTTP/1.0\r\n\r\n")
            expected = (505, "version_not_supported", True)
            assert await read_refusal(caller) == expected


class TestLimits:
    """Requests that are too large or too slow."""

    @pytest.mark.parametrize("complete", [True, False])
    async def test_header_too_large(self, complete: bool) -> None:
        """Guards against unbounded memory use by header sections."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            await caller.send(b"GET / HTTP/1.1\r\nX: " + b"x" * 20_000)
            if complete:
                await caller.send(b"\r\n\r\n")
            expected = (431, "header_too_large", True)
            assert await read_refusal(caller) == expected
            assert backend.request_heads == []

    async def test_stated_length_too_large(self) -> None:
        """Guards against reading a body that will be refused."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n"
                b"Expect: 100-continue\r\n\r\n"
            )
            assert await read_refusal(caller) == (413, "body_too_large", True)
            assert await caller.reader.read() == b""
            assert backend.request_heads == []

    async def test_chunked_body_too_large(self) -> None:
        """Guards against chunked bodies without end."""
        settings = ForwardingSettings(body_bytes=100_000)
        async with (
            ScriptedBackend() as backend,
            run_proxy(backend, settings=settings) as proxy,
        ):
            caller = await proxy.connect_caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: x\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            await caller.send(b"3\r\nabc\r\n")
            await eventually(lambda: backend.request_heads)
            for _ in range(12):
                await caller.send(b"2710\r\n" + b"x" * 10_000 + b"\r\n")
            assert await read_refusal(caller) == (413, "body_too_large", False)
            await eventually(lambda: not backend.tasks)
            assert backend.ran == []

    async def test_slow_header(self) -> None:
        """Guards against connections held by a header that never ends."""
        settings = ForwardingSettings(header_timeout_s=0.05)
        async with (
            ScriptedBackend() as backend,
            run_proxy(backend, settings=settings) as proxy,
        ):
            silent = await proxy.connect_caller()
            slow = await proxy.connect_caller()
            await slow.send(b"GET / HT")
            assert await slow.reader.read() == b""
            assert await silent.reader.read() == b""

    async def test_slow_body_holds_no_backend_slot_after_its_deadline(
        self,
    ) -> None:
        """Guards against slots held by bodies that never end."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            await caller.send(
                b"POST /brief HTTP/1.1\r\nHost: x\r\n"
                b"Content-Length: 10\r\n\r\nabc"
            )
            status, kind, not_run = await read_refusal(caller)
            assert (status, kind, not_run) == (504, "outcome_unclear", False)
            assert proxy.router.in_flight() == 0
            await eventually(lambda: not backend.tasks)
            assert backend.ran == []

    async def test_early_close_in_a_chunked_body(self) -> None:
        """Guards against completing the body of a caller that disconnected."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n"
                b"\r\n3\r\nabc\r\n"
            )
            await eventually(lambda: backend.request_heads)
            caller.writer.close()
            await eventually(lambda: not backend.tasks)
            assert backend.ran == []
            assert proxy.router.in_flight() == 0


class TestFields:
    """Header fields in both directions."""

    async def test_hop_by_hop_fields(self) -> None:
        """Guards against fields of one connection reaching the next."""

        async def reply(exchange: ScriptedExchange) -> None:
            await exchange.read_body()
            await exchange.send_response(
                extra="Connection: X-Server\r\nX-Server: 1\r\nX-Kept: 2\r\n"
                "Keep-Alive: timeout=5\r\nSet-Cookie: a=1\r\n"
                "Set-Cookie: b=2\r\n"
            )

        async with (
            ScriptedBackend(reply) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            answer = await caller.call(
                "GET",
                "/a%2Fb/../c?q=%20x&&y",
                "Connection: x-caller, TE\r\nX-Caller: 1\r\nTE: trailers\r\n"
                "X-Kept: caf\u00e9\r\nProxy-Authorization: secret\r\n"
                "Via: 1.0 edge\r\nvanillamast-attempt: 1\r\n",
            )
            assert answer.field("x-server") is None
            assert answer.field("keep-alive") is None
            assert answer.field("x-kept") == "2"
            assert answer.field("via") == "1.1 vanillamast"
            assert answer.head.count(b"set-cookie: ") == 2
            request = backend.ran[0]
            assert request.target == "/a%2Fb/../c?q=%20x&&y"
            assert request.field("x-kept") == "caf\u00e9"
            assert request.field("host") == "x"
            for name in ("x-caller", "te", "proxy-authorization"):
                assert request.field(name) == ""
            assert b"1.0 edge" in request.head
            assert b"1.1 vanillamast" in request.head
            for name in ("user-agent", "accept", "accept-encoding"):
                assert request.field(name) == ""

    async def test_deadline_and_attempt(self) -> None:
        """Guards against work that goes on after the caller's deadline."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            await caller.call(
                "GET",
                "/",
                "vanillamast-deadline-ms: 700\r\nvanillamast-attempt: 2\r\n",
            )
            assert float(backend.ran[0].field("vanillamast-deadline-ms")) > 0
            remaining = float(backend.ran[0].field("vanillamast-deadline-ms"))
            assert remaining <= 700
            assert backend.ran[0].field("vanillamast-attempt") == "2"
            answer = await caller.call(
                "POST", "/", "vanillamast-deadline-ms: 0\r\n"
            )
            assert answer.status == 504
            assert json.loads(answer.body)["not_run"] is True

    async def test_bodiless_responses(self) -> None:
        """Guards against waiting for bodies that never come."""

        async def bodiless(exchange: ScriptedExchange) -> None:
            await exchange.read_body()
            id_line = exchange.id_line
            if exchange.head.startswith(b"HEAD"):
                await exchange.send(
                    b"HTTP/1.1 200 OK\r\n%bContent-Length: 1234\r\n\r\n"
                    % id_line
                )
            elif b"/304" in exchange.head:
                await exchange.send(
                    b"HTTP/1.1 304 X\r\n%bETag: e\r\nContent-Length: 9\r\n\r\n"
                    % id_line
                )
            elif b"/204" in exchange.head:
                await exchange.send(b"HTTP/1.1 204 X\r\n%b\r\n" % id_line)
            else:
                await exchange.send(
                    b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                    b"HTTP/1.1 200 OK\r\n%bContent-Length: 2\r\n\r\nok"
                    % id_line
                )

        async with (
            ScriptedBackend(bodiless) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            for _ in range(2):
                head = await caller.call("HEAD", "/")
                assert (head.status, head.field("content-length")) == (
                    200,
                    "1234",
                )
                assert (await caller.call("GET", "/304")).field("etag") == "e"
                assert (await caller.call("GET", "/204")).status == 204
                assert (await caller.call("GET", "/hints")).body == b"ok"
            assert backend.connections == 1
            assert proxy.router.in_flight() == 0

    async def test_expect_continue(self) -> None:
        """Guards against callers that wait for a 100 response in vain."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                b"Expect: 100-continue\r\n\r\n"
            )
            assert (await caller.read_response()).status == 100
            await caller.send(b"abc")
            assert (await caller.read_response()).status == 200
            assert backend.ran[0].field("expect") == ""
            assert backend.ran[0].body == b"abc"

    async def test_no_route_and_method(self) -> None:
        """Guards against forwarding what no route allows."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            assert (await caller.call("DELETE", "/")).status == 405
            proxy.router.set_routes({}, {}, {})
            assert (await caller.call("GET", "/")).status == 404
            proxy.router.table = None
            answer = await caller.call("GET", "/")
            assert answer.field("vanillamast-refusal") == "no_configuration"
            assert json.loads(answer.body)["not_run"] is True
            assert [d.reason for d in proxy.decisions] == [
                "method_not_allowed",
                "no_route",
                "no_configuration",
            ]
            assert backend.request_heads == []

    async def test_internal_error_of_the_node(self) -> None:
        """Guards against an internal error sent as a server's response."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:

            def fail(decision: RoutingDecision) -> None:
                raise RuntimeError("the log writer failed")

            proxy.listener.context.record_decision = fail
            caller = await proxy.connect_caller()
            answer = await caller.call("POST", "/", body=b"x")
            assert answer.status == 500
            assert answer.field("vanillamast-refusal") == "internal_error"
            assert json.loads(answer.body)["not_run"] is False
            assert await caller.reader.read() == b""
            assert proxy.router.in_flight() == 0

    async def test_target_without_a_path(self) -> None:
        """Guards against responses of the web framework itself."""
        async with ScriptedBackend() as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            answer = await caller.call("OPTIONS", "*")
            assert answer.field("vanillamast-refusal") is not None
            assert backend.request_heads == []
