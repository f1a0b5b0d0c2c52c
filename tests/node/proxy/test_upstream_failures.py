"""Tests with backend servers that fail at each phase of an exchange."""

import asyncio
import json
import socket

import pytest
from vanillamast_core.requests import AttemptOutcome
from vanillamast_node import ForwardingSettings

from tests.node.proxy.proxy_fixture import announce, eventually, run_proxy
from tests.node.proxy.scripted_backend import (
    ScriptedBackend,
    ScriptedExchange,
    answer_ok,
)

SHED = (
    "HTTP/1.1 503 X\r\nContent-Length: 4\r\nvanillamast-not-run: 1\r\n\r\nbusy"
)


def closed_port() -> str:
    """Returns an address on which nothing listens."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


async def reset_after_head(exchange: ScriptedExchange) -> None:
    """Resets the connection once the request header has arrived."""
    exchange.close(reset=True)


async def reset_after_body(exchange: ScriptedExchange) -> None:
    """Runs the request and resets the connection without a response."""
    await exchange.read_body()
    exchange.close(reset=True)


async def close_in_response_header(exchange: ScriptedExchange) -> None:
    """Runs the request and closes the connection in the response header."""
    await exchange.read_body()
    await exchange.send(b"HTTP/1.1 200 OK\r\nContent-Le")
    exchange.close()


async def shed_request(exchange: ScriptedExchange) -> None:
    """Refuses without running the request."""
    await exchange.send(SHED.encode())


class TestNotRunForCertain:
    """Failures after which any request may be retried."""

    async def test_post_is_retried_after_a_refused_connection(self) -> None:
        """Guards against failing a post because one server is down."""
        async with ScriptedBackend() as good:
            down = announce(closed_port(), "down")
            async with run_proxy(down, announce(good, "good")) as proxy:
                caller = await proxy.connect_caller()
                for _ in range(6):
                    answer = await caller.call("POST", "/", body=b"chapter")
                    assert answer.status == 200
                assert [r.body for r in good.ran] == [b"chapter"] * 6
                failed = [o for o in proxy.results if o.failed]
                assert failed
                assert {o.outcome for o in failed} == {
                    AttemptOutcome.CONNECT_FAILED
                }
                assert not any(o.connected for o in failed)

    async def test_shed_post_runs_once_on_another_server(self) -> None:
        """Guards against dropping or doubling a post that was shed."""
        async with (
            ScriptedBackend(shed_request) as full,
            ScriptedBackend() as good,
            run_proxy(full, good) as proxy,
        ):
            caller = await proxy.connect_caller()
            posts = 0
            while not full.request_heads:
                posts += 1
                answer = await caller.call("POST", "/", body=b"x")
                assert answer.status == 200
            assert full.ran == []
            assert len(good.ran) == posts
            assert good.ran[-1].field("vanillamast-attempt") == "2"

    async def test_all_servers_shed(self) -> None:
        """Guards against a refusal that hides that nothing ran."""
        async with (
            ScriptedBackend(shed_request) as full,
            run_proxy(full) as proxy,
        ):
            caller = await proxy.connect_caller()
            answer = await caller.call("POST", "/", body=b"x")
            assert answer.status == 503
            assert answer.field("vanillamast-refusal") == "shed"
            assert json.loads(answer.body)["not_run"] is True
            assert answer.field("retry-after") == "1"

    async def test_large_body_that_was_shed_is_not_sent_again(self) -> None:
        """Guards against replaying a body of which only a part is kept."""
        settings = ForwardingSettings(replay_bytes=1000)

        async def read_and_shed(exchange: ScriptedExchange) -> None:
            await exchange.reader.readexactly(50_000)
            await shed_request(exchange)

        async with (
            ScriptedBackend(read_and_shed) as one,
            ScriptedBackend(read_and_shed) as two,
            run_proxy(one, two, settings=settings) as proxy,
        ):
            caller = await proxy.connect_caller()
            answer = await caller.call("POST", "/", body=b"x" * 50_000)
            assert answer.status == 503
            assert json.loads(answer.body)["not_run"] is True
            assert len(one.request_heads) + len(two.request_heads) == 1


class TestUnclear:
    """Failures after which a post must not be retried."""

    @pytest.mark.parametrize(
        "script", [reset_after_head, reset_after_body, close_in_response_header]
    )
    async def test_post_is_not_retried(self, script: object) -> None:
        """Guards against a duplicate write after a lost response."""
        async with (
            ScriptedBackend(script) as one,  # type: ignore[arg-type]
            ScriptedBackend(script) as two,  # type: ignore[arg-type]
            run_proxy(one, two) as proxy,
        ):
            caller = await proxy.connect_caller()
            answer = await caller.call("POST", "/", body=b"chapter")
            assert answer.status == 502
            assert answer.field("vanillamast-refusal") == "outcome_unclear"
            assert json.loads(answer.body)["not_run"] is False
            assert len(one.request_heads) + len(two.request_heads) == 1

    @pytest.mark.parametrize(
        "script", [reset_after_head, reset_after_body, close_in_response_header]
    )
    async def test_get_is_retried_on_another_server(
        self, script: object
    ) -> None:
        """Guards against failing a GET that another server can answer."""
        async with (
            ScriptedBackend(script) as bad,  # type: ignore[arg-type]
            ScriptedBackend() as good,
            run_proxy(bad, good) as proxy,
        ):
            caller = await proxy.connect_caller()
            while not bad.request_heads:
                answer = await caller.call("GET", "/page")
                assert answer.status == 200
                assert answer.body == b"ok"

    async def test_put_declared_not_idempotent_runs_once(self) -> None:
        """Guards against retries inside the client library.

        aiohttp retries PUT itself when a reused connection fails.
        """
        calls = 0

        async def reset_second_request(exchange: ScriptedExchange) -> None:
            nonlocal calls
            calls += 1
            await exchange.read_body()
            if calls == 1:
                await exchange.send_response()
            else:
                exchange.close(reset=True)

        async with (
            ScriptedBackend(reset_second_request) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            assert (await caller.call("PUT", "/once", body=b"x")).status == 200
            answer = await caller.call("PUT", "/once", body=b"x")
            assert answer.status == 502
            assert backend.connections == 1
            assert len(backend.ran) == 2

    async def test_get_on_a_reset_pooled_connection(self) -> None:
        """Guards against a client library retry outside the retry budget."""
        calls = 0

        async def reset_second_request(exchange: ScriptedExchange) -> None:
            nonlocal calls
            calls += 1
            await exchange.read_body()
            if calls == 2:
                exchange.close(reset=True)
            else:
                await exchange.send_response()

        async with (
            ScriptedBackend(reset_second_request) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            assert (await caller.call("GET", "/")).status == 200
            assert (await caller.call("GET", "/")).status == 502
            assert len(backend.request_heads) == 2
            assert (await caller.call("GET", "/")).status == 200

    async def test_closed_idle_connection_is_not_used(self) -> None:
        """Guards against an unclear outcome after an idle connection closed."""

        async def close_when_idle(exchange: ScriptedExchange) -> None:
            await exchange.read_body()
            await exchange.send_response()
            exchange.close()

        async with (
            ScriptedBackend(close_when_idle) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            for _ in range(5):
                answer = await caller.call("POST", "/", body=b"x")
                assert answer.status == 200
                # Lets the node detect the closed connection.
                await eventually(lambda: not backend.tasks)
                await asyncio.sleep(0.02)
            assert len(backend.ran) == 5


class TestLate:
    """Backend servers that answer too late or not at all."""

    async def test_late_answer_to_a_post_is_unclear(self) -> None:
        """Guards against stating that a running post did not run."""
        release = asyncio.Event()

        async def late(exchange: ScriptedExchange) -> None:
            await exchange.read_body()
            await release.wait()
            await exchange.send_response(b"late")

        async with (
            ScriptedBackend(late) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            answer = await caller.call("POST", "/brief", body=b"x")
            assert answer.status == 504
            assert json.loads(answer.body)["not_run"] is False
            release.set()
            backend.script = answer_ok
            answer = await caller.call("POST", "/", body=b"y")
            assert answer.body == b"ok"
            assert backend.connections == 2

    async def test_get_is_retried_after_a_frozen_server(self) -> None:
        """Guards against spending the whole timeout on a frozen server."""

        async def freeze(exchange: ScriptedExchange) -> None:
            await exchange.closed_by_peer()

        async with (
            ScriptedBackend(freeze) as frozen,
            ScriptedBackend() as good,
            run_proxy(frozen, good) as proxy,
        ):
            caller = await proxy.connect_caller()
            while not frozen.request_heads:
                answer = await caller.call("GET", "/brief")
                assert answer.status == 200
            assert [o.outcome for o in proxy.results][-2:] == [
                AttemptOutcome.TIMED_OUT,
                AttemptOutcome.ANSWERED,
            ]
            await eventually(lambda: proxy.router.in_flight() == 0)

    async def test_answers_are_not_mixed_up(self) -> None:
        """Guards against sending a late response to another request."""

        async def slow_echo(exchange: ScriptedExchange) -> None:
            await exchange.read_body()
            target = exchange.head.split(b" ", 2)[1]
            if b"slow" in target:
                await asyncio.sleep(0.3)
            await exchange.send_response(target)

        async with (
            ScriptedBackend(slow_echo) as one,
            run_proxy(one) as proxy,
        ):
            slow = [await proxy.connect_caller() for _ in range(4)]
            fast = [await proxy.connect_caller() for _ in range(4)]
            pending = [
                asyncio.create_task(c.call("POST", f"/brief/slow{i}"))
                for i, c in enumerate(slow)
            ]
            for turn in range(20):
                for index, caller in enumerate(fast):
                    target = f"/fast{index}-{turn}"
                    answer = await caller.call("GET", target)
                    assert answer.body == target.encode()
            for answer in await asyncio.gather(*pending):
                assert answer.status == 504


async def respond_twice(exchange: ScriptedExchange) -> None:
    """Sends each response once more while the connection is idle."""
    await exchange.read_body()
    target = exchange.head.split(b" ", 2)[1]
    await exchange.send_response(target)
    await asyncio.sleep(0.02)
    await exchange.send_response(target)


class TestSecondCopies:
    """A response counts for the request that it answers, once."""

    async def test_on_an_idle_connection(self) -> None:
        """Guards against the response to the request before."""
        async with (
            ScriptedBackend(respond_twice) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            for number in range(6):
                answer = await caller.call("GET", f"/{number}")
                assert answer.body == b"/%d" % number
                await asyncio.sleep(0.05)

    @pytest.mark.parametrize("repeats_id", [True, False])
    async def test_on_a_connection_in_use(self, repeats_id: bool) -> None:
        """Guards against a copy that arrives when the next request runs."""
        copies: dict[int, bytes] = {}

        async def copy_late(exchange: ScriptedExchange) -> None:
            await exchange.read_body()
            earlier = copies.pop(exchange.connection, b"")
            if earlier:
                await exchange.send(earlier)
                await asyncio.sleep(0.05)
            target = exchange.head.split(b" ", 2)[1]
            data = b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n" % len(target)
            data += exchange.id_line if repeats_id else b""
            data += b"\r\n" + target
            copies[exchange.connection] = data
            await exchange.send(data)

        async with (
            ScriptedBackend(copy_late) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            for number in range(6):
                target = f"/{number}"
                answer = await caller.call("POST", target, body=b"x")
                assert answer.status in (200, 502)
                assert answer.status == 502 or answer.body == target.encode()
            # A server that repeats no id gets a connection for each request.
            assert repeats_id or backend.connections == 6

    async def test_of_a_refusal(self) -> None:
        """Guards against 'not run' for a request that has run."""

        async def shed_late(exchange: ScriptedExchange) -> None:
            if len(backend.request_heads) == 1:
                await exchange.send(SHED.encode())
                return
            await exchange.read_body()
            if exchange.connection == 1:
                await exchange.send(SHED.encode())
            await asyncio.sleep(0.05)
            await exchange.send_response()

        async with (
            ScriptedBackend(shed_late) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            first = await caller.call("POST", "/", body=b"x")
            assert json.loads(first.body)["not_run"]
            second = await caller.call("POST", "/", body=b"x")
            assert (second.status, second.body) == (200, b"ok")


class TestCut:
    """Responses that end early."""

    @pytest.mark.parametrize(
        "head",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n",
        ],
    )
    @pytest.mark.parametrize("reset", [False, True])
    async def test_cut_body_reaches_the_caller(
        self, head: bytes, reset: bool
    ) -> None:
        """Guards against a truncated response that looks complete."""

        async def cut(exchange: ScriptedExchange) -> None:
            await exchange.read_body()
            await exchange.send(head + b"x" * 100)
            await asyncio.sleep(0.02)
            exchange.close(reset)

        async with ScriptedBackend(cut) as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await caller.call("GET", "/")
            await eventually(lambda: proxy.results)
            assert proxy.results[-1].outcome is AttemptOutcome.CUT
            assert proxy.router.in_flight() == 0

    async def test_body_cut_between_chunks(self) -> None:
        """Guards against completing a chunked body that the server did not."""

        async def cut(exchange: ScriptedExchange) -> None:
            await exchange.read_body()
            await exchange.send(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n"
            )
            exchange.close()

        async with ScriptedBackend(cut) as backend, run_proxy(backend) as proxy:
            caller = await proxy.connect_caller()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await caller.call("GET", "/")

    async def test_endless_answer_is_cut_at_the_deadline(self) -> None:
        """Guards against slots held by responses that never end."""

        async def endless(exchange: ScriptedExchange) -> None:
            await exchange.send(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n"
            )
            await exchange.closed_by_peer()

        async with (
            ScriptedBackend(endless) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await caller.call("GET", "/brief")
            await eventually(lambda: proxy.results)
            assert proxy.results[0].outcome is AttemptOutcome.TIMED_OUT
            assert proxy.router.in_flight() == 0

    async def test_unrequested_upgrade(self) -> None:
        """Guards against treating a switched protocol as a response."""

        async def upgrade(exchange: ScriptedExchange) -> None:
            await exchange.read_body()
            await exchange.send(
                b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n"
            )
            await exchange.closed_by_peer()

        async with (
            ScriptedBackend(upgrade) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            answer = await caller.call("POST", "/", body=b"x")
            assert answer.status == 502
            assert answer.field("vanillamast-refusal") == "outcome_unclear"


class TestCancellation:
    """Callers that disconnect."""

    @pytest.mark.parametrize("phase", ["waiting", "sending", "streaming"])
    async def test_caller_gone_cancels_the_upstream_call(
        self, phase: str
    ) -> None:
        """Guards against work and slots spent on disconnected callers."""
        gone = asyncio.Event()

        async def hold(exchange: ScriptedExchange) -> None:
            if phase == "streaming":
                await exchange.send(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc"
                )
            await exchange.closed_by_peer()
            gone.set()

        async with (
            ScriptedBackend(hold) as backend,
            run_proxy(backend) as proxy,
        ):
            caller = await proxy.connect_caller()
            length = 10 if phase == "sending" else 0
            await caller.send(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
                % length
                + b"abc"[:length]
            )
            await eventually(lambda: backend.request_heads)
            if phase == "streaming":
                await caller.reader.readuntil(b"abc")
            caller.close()
            await gone.wait()
            await eventually(lambda: proxy.results)
            assert proxy.results[0].outcome is AttemptOutcome.CANCELLED
            assert proxy.router.in_flight() == 0
