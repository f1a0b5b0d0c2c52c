"""Tests of callers' connections: pipelining, rejections, planned stops."""

import asyncio
import contextlib
import gc
import tracemalloc

import pytest
from vanillamast_sidecar.http.byte_budget import ByteBudget
from vanillamast_sidecar.http.caller_limits import CallerLimits
from vanillamast_sidecar.http.http_connection import MAX_CONCURRENT_REQUESTS
from vanillamast_sidecar.http.http_listener import READ_BYTES, HttpListener
from vanillamast_sidecar.http.http_message import HttpResponse
from vanillamast_sidecar.http.transport_writer import LARGE_BYTES

HOST = "127.27.0.1"
BODY_BYTES = 262_144
LONG_BODY_BYTES = 32 * BODY_BYTES
# Reads of the event loop and the framing of what they contain.
READ_SLACK_BYTES = 4 * READ_BYTES


class Caller:
    """A connection to a listener whose handler waits for the test.

    Attributes:
      started: Targets of the requests that the handler has started.
      cancelled: Targets of the requests that were cancelled.
      release: Events that end the requests, by target.
    """

    def __init__(self):
        self.started = []
        self.cancelled = []
        self.release = {}
        self.listener = HttpListener(
            self.handle,
            CallerLimits(header_bytes=512, body_bytes=LONG_BODY_BYTES),
        )

    async def handle(self, request, arrived_at):
        """Answers with the target once the test allows it."""
        self.started.append(request.target)
        event = self.release.setdefault(request.target, asyncio.Event())
        try:
            await event.wait()
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        return HttpResponse(200, [], request.target.encode())

    def finish(self, *targets):
        """Lets requests end."""
        for target in targets:
            self.release.setdefault(target, asyncio.Event()).set()

    def send(self, *requests):
        """Sends requests, each `METHOD target`, without waiting."""
        for request in requests:
            self.writer.write(f"{request} HTTP/1.1\r\nHost: x\r\n\r\n".encode())

    async def read(self):
        """Returns the status and the body of the next response."""
        async with asyncio.timeout(5.0):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = 0
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    length = int(line.split(b":")[1])
            body = await self.reader.readexactly(length)
        return int(head.split()[1]), body.decode(), b"close" in head.lower()

    async def is_closed(self):
        """Returns whether the listener closes the connection."""
        async with asyncio.timeout(5.0):
            return await self.reader.read() == b""


async def until(check):
    """Waits until a check holds; a timeout fails the test."""
    async with asyncio.timeout(5.0):
        while not check():
            await asyncio.sleep(0.01)


@pytest.fixture
async def caller():
    """Connects a caller to a listener."""
    found = Caller()
    server = await found.listener.listen(HOST, 0)
    port = server.sockets[0].getsockname()[1]
    found.reader, found.writer = await asyncio.open_connection(HOST, port)
    yield found
    found.writer.close()
    server.close()


class TestPipelining:
    """Requests sent before the first response."""

    async def test_reading_requests_run_at_the_same_time(self, caller):
        """Guards against requests that wait for those sent before them."""
        caller.send("GET /a", "GET /b", "GET /c")
        await until(lambda: caller.started == ["/a", "/b", "/c"])
        caller.finish("/c", "/b")
        await asyncio.sleep(0.05)
        caller.finish("/a")
        assert [(await caller.read())[1] for _ in range(3)] == [
            "/a",
            "/b",
            "/c",
        ]

    async def test_the_number_of_running_requests_is_bounded(self, caller):
        """Guards against a caller that takes all slots by one connection."""
        targets = [
            f"/{number}" for number in range(MAX_CONCURRENT_REQUESTS + 4)
        ]
        caller.send(*(f"GET {target}" for target in targets))
        await until(lambda: len(caller.started) == MAX_CONCURRENT_REQUESTS)
        await asyncio.sleep(0.05)
        assert len(caller.started) == MAX_CONCURRENT_REQUESTS
        caller.finish(*targets)
        assert [(await caller.read())[1] for _ in targets] == targets

    async def test_a_writing_request_waits_for_the_earlier_ones(self, caller):
        """Guards against a second run of what is sent again after a close."""
        caller.send("GET /a", "POST /b", "GET /c")
        await until(lambda: caller.started)
        await asyncio.sleep(0.05)
        assert caller.started == ["/a"]
        caller.finish("/a")
        await until(lambda: "/b" in caller.started)
        await asyncio.sleep(0.05)
        assert caller.started == ["/a", "/b"]
        caller.finish("/b", "/c")
        assert [(await caller.read())[1] for _ in range(3)] == [
            "/a",
            "/b",
            "/c",
        ]

    async def test_requests_behind_a_closing_response_are_not_run(self, caller):
        """Guards against a run of what the caller sends again."""
        caller.writer.write(
            b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        caller.send("GET /b")
        await until(lambda: caller.started)
        await asyncio.sleep(0.05)
        caller.finish("/a", "/b")
        assert (await caller.read()) == (200, "/a", True)
        assert await caller.is_closed()
        assert caller.started == ["/a"]

    async def test_a_caller_that_leaves_cancels_all_requests(self, caller):
        """Guards against servers at work for callers that are gone."""
        caller.send("GET /a", "GET /b")
        await until(lambda: len(caller.started) == 2)
        caller.writer.transport.abort()
        await until(lambda: sorted(caller.cancelled) == ["/a", "/b"])


class TestRejections:
    """A rejected message gets its response after the earlier ones."""

    async def test_earlier_requests_are_answered_first(self, caller):
        """Guards against a request cut off by a later malformed one."""
        caller.send("GET /a")
        await until(lambda: caller.started)
        caller.writer.write(b"NONSENSE\r\n\r\n")
        await asyncio.sleep(0.05)
        caller.finish("/a")
        assert (await caller.read())[:2] == (200, "/a")
        status, _, closes = await caller.read()
        assert (status, closes) == (400, True)
        assert await caller.is_closed()

    async def test_a_header_field_without_end_is_rejected(self, caller):
        """Guards against a caller that fills the process's memory."""
        caller.writer.write(b"GET / HTTP/1.1\r\nX-Long: ")
        await until(lambda: caller.listener.connections)
        sent = 0
        while caller.listener.connections:
            # The rest of the bytes finds a closed connection.
            with contextlib.suppress(ConnectionError):
                caller.writer.write(b"x" * 65_536)
                await caller.writer.drain()
            sent += 65_536
            assert sent < 64 * READ_BYTES
            await asyncio.sleep(0)
        assert caller.started == []

    async def test_a_long_body_is_held_once(self, caller):
        """Guards against copies of a body in the process that reads it."""
        caller.finish("/")
        gc.collect()
        tracemalloc.start()
        try:
            caller.writer.write(
                b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n"
                % LONG_BODY_BYTES
            )
            piece = bytes(READ_BYTES)
            for _ in range(LONG_BODY_BYTES // READ_BYTES):
                caller.writer.write(piece)
                await caller.writer.drain()
            assert (await caller.read())[0] == 200
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        # Twice if it were copied.
        assert peak < 1.5 * LONG_BODY_BYTES

    async def test_a_body_in_tiny_chunks_costs_its_bytes(self, caller):
        """Guards against small pieces that each cost an object of their own."""
        caller.finish("/")
        gc.collect()
        tracemalloc.start()
        try:
            caller.writer.write(
                b"POST / HTTP/1.1\r\nHost: x\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
            )
            for _ in range(BODY_BYTES // 1024):
                caller.writer.write(b"1\r\nx\r\n" * 1024)
                await caller.writer.drain()
            caller.writer.write(b"0\r\n\r\n")
            assert (await caller.read())[0] == 200
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        # The received bytes and the copy that the handler gets.
        assert peak < 2 * BODY_BYTES + READ_SLACK_BYTES


class TestBodyBudget:
    """Long bodies share a number of bytes; what finds no room is refused."""

    BODY = bytes(2 * LARGE_BYTES)

    @pytest.fixture
    async def connect(self):
        """Returns a function that opens connections to a listener."""
        started = asyncio.Event()
        release = asyncio.Event()

        async def handle(request, arrived_at):
            started.set()
            await release.wait()
            return HttpResponse(200, [], b"%d" % len(request.body))

        listener = HttpListener(
            handle, CallerLimits(), ByteBudget(3 * LARGE_BYTES)
        )
        server = await listener.listen(HOST, 0)
        port = server.sockets[0].getsockname()[1]
        writers = []

        async def connect(headers, body=b""):
            reader, writer = await asyncio.open_connection(HOST, port)
            writers.append(writer)
            writer.write(b"POST / HTTP/1.1\r\nHost: x\r\n" + headers)
            writer.write(b"\r\n" + body)
            return reader, writer

        connect.started, connect.release = started, release
        connect.listener = listener
        yield connect
        release.set()
        for writer in writers:
            writer.close()
        server.close()

    async def test_a_body_that_finds_no_room_is_refused(self, connect):
        """Guards against bodies that take the process over its memory."""
        length = b"Content-Length: %d\r\n" % len(self.BODY)
        first, _ = await connect(length, self.BODY)
        await asyncio.wait_for(connect.started.wait(), 5.0)
        second, _ = await connect(length)
        head = await asyncio.wait_for(second.readuntil(b"\r\n\r\n"), 5.0)
        assert head.startswith(b"HTTP/1.1 503 ")
        assert b"Retry-After: 1\r\n" in head
        connect.release.set()
        head = await asyncio.wait_for(first.readuntil(b"\r\n\r\n"), 5.0)
        assert head.startswith(b"HTTP/1.1 200 ")
        await until(lambda: connect.listener.body_budget.used == 0)

    async def test_a_chunked_body_that_finds_no_room_is_refused(self, connect):
        """Guards against bodies whose length is not known before."""
        chunk = b"%x\r\n%s\r\n" % (LARGE_BYTES, bytes(LARGE_BYTES))
        reader, writer = await connect(
            b"Transfer-Encoding: chunked\r\n", chunk * 4
        )
        await until(lambda: connect.listener.body_budget.used > 0)
        writer.write(chunk)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
        assert head.startswith(b"HTTP/1.1 503 ")
        await until(lambda: connect.listener.body_budget.used == 0)
        assert not connect.started.is_set()

    async def test_a_short_body_needs_no_room(self, connect):
        """Guards against short requests refused for the long ones."""
        await connect(
            b"Content-Length: %d\r\n" % (3 * LARGE_BYTES),
        )
        await until(lambda: connect.listener.body_budget.used > 0)
        reader, _ = await connect(b"Content-Length: 4\r\n", b"body")
        connect.release.set()
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5.0)
        assert head.startswith(b"HTTP/1.1 200 ")

    @pytest.mark.parametrize("sent", [0, 1000, 2 * LARGE_BYTES])
    async def test_a_caller_that_leaves_gives_its_bytes_back(
        self, connect, sent
    ):
        """Guards against a budget that fills up with callers that left."""
        length = b"Content-Length: %d\r\n" % len(self.BODY)
        _, writer = await connect(length, self.BODY[:sent])
        await until(lambda: connect.listener.body_budget.used > 0)
        writer.close()
        await until(lambda: connect.listener.body_budget.used == 0)


class TestPlannedStop:
    """Requests that were accepted are answered before the connection ends."""

    async def test_running_requests_are_answered(self, caller):
        """Guards against accepted requests that are cut off at a stop."""
        caller.send("GET /a", "GET /b")
        await until(lambda: len(caller.started) == 2)
        caller.listener.closing = True
        caller.listener.close_idle()
        caller.finish("/a", "/b")
        assert await caller.read() == (200, "/a", False)
        assert await caller.read() == (200, "/b", True)
        assert await caller.is_closed()

    async def test_a_request_that_was_just_accepted_is_answered(self, caller):
        """Guards against requests lost between the accept and the stop."""
        caller.listener.closing = True
        caller.send("GET /a")
        caller.finish("/a")
        assert await caller.read() == (200, "/a", True)


class TestEndOfRequests:
    """A caller that sends no more, and one that is gone."""

    @pytest.mark.parametrize("wait_s", [0.0, 0.3])
    async def test_a_half_closed_connection_gets_all_responses(
        self, caller, wait_s
    ):
        """Guards against requests cut off when the caller stops sending."""
        caller.send("GET /a", "POST /b")
        caller.writer.write_eof()
        await until(lambda: caller.started == ["/a"])
        await asyncio.sleep(wait_s)
        caller.finish("/a", "/b")
        assert (await caller.read())[:2] == (200, "/a")
        assert (await caller.read())[:2] == (200, "/b")
        assert await caller.is_closed()
        assert caller.cancelled == []

    async def test_a_half_closed_incomplete_request_is_not_run(self, caller):
        """Guards against a request that is run without its end."""
        caller.writer.write(b"POST /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nx")
        caller.writer.write_eof()
        assert await caller.is_closed()
        assert caller.started == []


class TestTargets:
    """Upgrade fields and targets in absolute form (RFC 9110, RFC 9112)."""

    UPGRADE = (
        b"Host: x\r\nConnection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    )

    async def test_an_upgrade_is_ignored(self, caller):
        """Guards against ordinary requests refused for an offer."""
        caller.finish("/a", "/b")
        caller.writer.write(b"GET /a HTTP/1.1\r\n" + self.UPGRADE + b"\r\n")
        caller.send("GET /b")
        assert await caller.read() == (200, "/a", False)
        assert await caller.read() == (200, "/b", False)

    @pytest.mark.parametrize(
        "framing",
        [
            b"Content-Length: 23\r\n\r\nGET /inner HTTP/1.1\r\n\r\n",
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nGET\r\n0\r\n\r\n",
        ],
    )
    @pytest.mark.parametrize("piece", [1, 7, 4096])
    async def test_the_body_of_an_upgrade_is_no_request(
        self, caller, framing, piece
    ):
        """Guards against a body that is run as a request of its own."""
        bodies = []
        handle = caller.listener.handler

        async def keep_body(request, arrived_at):
            bodies.append((request.method, bytes(request.body)))
            return await handle(request, arrived_at)

        caller.listener.handler = keep_body
        caller.finish("/a", "/b")
        data = b"PUT /a HTTP/1.1\r\n" + self.UPGRADE + framing
        for start in range(0, len(data), piece):
            caller.writer.write(data[start : start + piece])
            await asyncio.sleep(0)
        expected = b"GET"
        if b"chunked" not in framing:
            expected = framing.partition(b"\r\n\r\n")[2]
        caller.send("GET /b")
        assert await caller.read() == (200, "/a", False)
        assert await caller.read() == (200, "/b", False)
        assert bodies == [("PUT", expected), ("GET", b"")]

    async def test_a_tunnel_is_refused(self, caller):
        """Guards against bytes of a tunnel that are run as requests."""
        caller.writer.write(b"CONNECT x:80 HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await caller.read())[::2] == (400, True)
        assert caller.started == []

    @pytest.mark.parametrize(
        ("target", "path"),
        [
            ("http://a.example/x?y=1", "/x?y=1"),
            ("HTTP://a.example:8080", "/"),
            ("https://a.example?q", "/?q"),
            ("/x?u=http://b/", "/x?u=http://b/"),
        ],
    )
    async def test_an_absolute_target_names_the_host(
        self, caller, target, path
    ):
        """Guards against a Host field that differs from the target."""
        hosts = []
        handle = caller.listener.handler

        async def keep_host(request, arrived_at):
            hosts.append([v for n, v in request.headers if n == b"host"])
            return await handle(request, arrived_at)

        caller.listener.handler = keep_host
        caller.finish(path)
        caller.send(f"GET {target}")
        assert (await caller.read())[:2] == (200, path)
        authority = target.partition("//")[2].partition("/")[0]
        authority = authority.partition("?")[0].encode()
        assert hosts == [[b"x" if target[0] == "/" else authority]]

    async def test_an_absolute_target_with_a_user_is_refused(self, caller):
        """Guards against a host that is taken from the user part."""
        caller.send("GET http://a@b/x")
        assert (await caller.read())[0] == 400


class TestLimits:
    """Each limit on a client ends in a refusal or a close, and is reported."""

    CHUNKED = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    CASES = {
        "preamble": (400, b"\r\n" * 8192),
        "fields": (431, b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 60 + b"\r\n"),
        "header": (431, CHUNKED + b"1\r\nx\r\n0\r\na: " + b"x" * 8192),
        "framing": (
            400,
            CHUNKED
            + b"1;e=x\r\nx\r\n"
            + b"1;eeeeeeeeeeeeeeeee=x\r\nx\r\n" * 1000,
        ),
        "malformed": (400, b"NONSENSE\r\n\r\n"),
        "slow_header": (408, b"GET / HTT"),
        "slow_body": (408, b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nx"),
    }

    @pytest.fixture
    async def listener(self):
        """Returns a listener with low limits, and what it reports."""
        reported = []

        async def handle(request, arrived_at):
            return HttpResponse(200, [], bytes(1 << 20))

        listener = HttpListener(
            handle,
            CallerLimits(512, 1 << 20, 0.3, 0.3, 50),
            on_limit=lambda kind, transport: reported.append(kind),
        )
        listener.reported = reported
        server = await listener.listen(HOST, 0)
        listener.port = server.sockets[0].getsockname()[1]
        yield listener
        server.close()

    @pytest.mark.parametrize("kind", CASES)
    async def test_the_request_is_refused(self, listener, kind):
        """Guards against a refusal that is missing, or of another kind."""
        status, data = self.CASES[kind]
        reader, writer = await asyncio.open_connection(HOST, listener.port)
        writer.write(data)
        line = await asyncio.wait_for(reader.readline(), 5.0)
        assert line.startswith(b"HTTP/1.1 %d " % status)
        assert listener.reported == [kind]
        writer.close()
        await until(lambda: not listener.connections)
        assert listener.account.used == 0

    async def test_an_unread_answer_ends(self, listener):
        """Guards against answers that are kept for clients that never read."""
        _, writer = await asyncio.open_connection(HOST, listener.port, limit=1)
        writer.transport.pause_reading()
        for _ in range(40):
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        await until(lambda: listener.reported)
        assert listener.reported == ["unread"]
        await until(lambda: not listener.connections)
        assert listener.account.used == 0
        writer.transport.abort()
