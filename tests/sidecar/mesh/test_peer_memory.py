"""Tests of the memory that calls of other nodes take."""

import asyncio
from unittest.mock import Mock

import pytest
from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.http.http_message import HttpResponse
from vanillamast_sidecar.http.memory_account import MemoryAccount
from vanillamast_sidecar.http.memory_costs import (
    CALL_BODY_COPIES,
    CONNECTION_BYTES,
)
from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.mesh.inbound_limiter import InboundLimiter
from vanillamast_sidecar.mesh.messages import (
    REPLY_TAG,
    Call,
    Hello,
    Ping,
    Welcome,
)
from vanillamast_sidecar.mesh.peer_link import PeerLink
from vanillamast_sidecar.mesh.peer_server import PeerServer

HOST = "127.25.0.2"
ROOM = 2_000_000
LOAD = LoadReport(0, 0, 0.0, 0.0)
RECORD = NodeRecord(f"{HOST}:1", "a", 1, 0, False, None)
NO_RESPONSE = CallResult(Outcome.NOT_RUN, Reason.OVERLOADED)


class Fleet:
    """One node beside a server, and links of others to it.

    Attributes:
      limiter: Limits what the node holds.
      running: Ids of the requests that got a slot, in that order.
      slots: Free slots of the server.
      answer: Body of each answer.
    """

    def __init__(self, slots):
        self.limiter = InboundLimiter()
        self.limiter.account = MemoryAccount(ROOM)
        self.running = []
        self.slots = asyncio.Semaphore(slots)
        self.answer = b""
        self.connections = []
        self.port = 0

    async def run(self, call):
        """Runs a call in a slot, as the executor does."""
        async with self.slots:
            call.has_slot = True
            if call.confirm is not None and await call.confirm() is None:
                return CallResult(Outcome.NOT_RUN, Reason.NOT_CONFIRMED)
            self.running.append(call.request_id)
            await asyncio.sleep(0.05)
        return CallResult(
            Outcome.ANSWERED, response=HttpResponse(200, [], self.answer)
        )

    def make_server(self):
        """Returns the protocol of a new connection."""
        server = PeerServer(
            self.run,
            lambda: LOAD,
            self.handle_message,
            lambda _: None,
            self.limiter,
        )
        self.connections.append(server)
        return server

    def handle_message(self, connection, message):
        """Answers a hello."""
        if isinstance(message, Hello):
            connection.send(Welcome(RECORD, [], [], LOAD))

    async def connect(self):
        """Returns the link of another node."""
        link = PeerLink(f"{HOST}:1", False, lambda *_: None, lambda _: None)
        assert await link.open(HOST, self.port, Hello(RECORD, False))
        return link


@pytest.fixture
async def fleet():
    """Starts the node with one slot."""
    found = Fleet(slots=1)
    loop = asyncio.get_running_loop()
    server = await loop.create_server(found.make_server, HOST, 0)
    found.port = server.sockets[0].getsockname()[1]
    yield found
    server.close()
    for connection in found.connections:
        connection.close()


async def send(link, name, lines=0, body=b"", idempotent=True):
    """Sends a call over a link; returns its reply."""

    def make(number, sent_body):
        return Call(
            number,
            asyncio.get_running_loop().time(),
            5.0,
            5.0,
            name,
            "i-1",
            1,
            "route",
            1,
            idempotent,
            "POST",
            "/x",
            [(b"a", b"")] * lines,
            sent_body,
            "",
            True,
            0 if idempotent else len(body),
        )

    return await link.send_call(make, body, idempotent, 5.0)


async def until(check):
    """Waits until a check holds; a timeout fails the test."""
    async with asyncio.timeout(5.0):
        while not check():
            await asyncio.sleep(0.01)


class TestCalls:
    """Requests of other nodes that wait, run and are refused."""

    async def test_a_call_without_memory_has_not_run(self, fleet):
        """Guards against a refusal of a request that runs all the same."""
        link = await fleet.connect()
        names = [b"r%d" % number for number in range(12)]
        replies = await asyncio.gather(
            *(send(link, name, lines=1000) for name in names)
        )
        refused = {
            name
            for name, reply in zip(names, replies, strict=True)
            if reply.reason is Reason.NO_ROOM
        }
        assert refused
        assert refused.isdisjoint(fleet.running)
        assert all(
            reply.outcome is Outcome.NOT_RUN
            for reply in replies
            if reply.reason is Reason.NO_ROOM
        )
        assert len(fleet.running) == len(names) - len(refused)
        await until(lambda: fleet.limiter.account.used == CONNECTION_BYTES)

    @pytest.mark.parametrize("idempotent", [True, False])
    async def test_a_body_without_memory_is_not_taken_in(
        self, fleet, idempotent
    ):
        """Guards against bodies that are received before they are refused."""
        link = await fleet.connect()
        reply = await send(link, b"r", body=bytes(ROOM), idempotent=idempotent)
        assert reply.reason is Reason.NO_ROOM
        assert not fleet.running
        # The connection is in step, and small requests are served.
        reply = await send(link, b"small", body=b"x", idempotent=idempotent)
        assert reply.outcome is Outcome.ANSWERED

    @pytest.mark.parametrize("idempotent", [True, False])
    async def test_a_body_is_charged_once(self, fleet, idempotent):
        """Guards against a body whose arrival takes the room of others."""
        link = await fleet.connect()
        most = 0
        fleet.limiter.account.size = 10_000_000
        size = 4_000_000
        call = asyncio.ensure_future(
            send(link, b"r", body=bytes(size), idempotent=idempotent)
        )
        while not call.done():
            most = max(most, fleet.limiter.account.used)
            await asyncio.sleep(0)
        assert (await call).outcome is Outcome.ANSWERED
        assert most <= size * CALL_BODY_COPIES + 100_000

    async def test_refusals_amid_a_long_read_cost_nothing(self, fleet):
        """Guards against a refusal that is charged for what has been read."""
        connection = PeerServer(
            fleet.run,
            lambda: LOAD,
            lambda *_: None,
            lambda _: None,
            fleet.limiter,
        )
        connection.greeted = True
        connection.codec.buffer = bytearray(ROOM)
        connection.transport = Mock(is_closing=lambda: False)
        connection.send(Ping())
        assert fleet.limiter.account.used <= CONNECTION_BYTES

    async def test_a_node_that_holds_little_gets_room(self, fleet):
        """Guards against one node's clients that keep those of others out."""
        hog, other = await fleet.connect(), await fleet.connect()
        waiting = [
            asyncio.ensure_future(send(hog, b"hog%d" % n, lines=800))
            for n in range(9)
        ]
        await until(lambda: fleet.limiter.account.used > ROOM // 2)
        reply = await send(other, b"other", lines=800)
        assert reply.outcome is Outcome.ANSWERED
        replies = await asyncio.gather(*waiting)
        # Every request of the crowd has an outcome, and a true one.
        for number, reply in enumerate(replies):
            ran = b"hog%d" % number in fleet.running
            assert ran == (reply.outcome is Outcome.ANSWERED)
        await until(lambda: fleet.limiter.account.used == 2 * CONNECTION_BYTES)

    @pytest.mark.parametrize("idempotent", [True, False])
    async def test_a_lost_connection_returns_its_memory(
        self, fleet, idempotent
    ):
        """Guards against an account that fills up with lost connections."""
        link = await fleet.connect()
        calls = [
            asyncio.ensure_future(
                send(link, b"r%d" % n, 100, b"x" * 1000, idempotent)
            )
            for n in range(5)
        ]
        await until(lambda: fleet.limiter.account.used > CONNECTION_BYTES)
        link.close()
        await asyncio.gather(*calls)
        await until(lambda: fleet.limiter.account.used == 0)

    async def test_unread_answers_count_until_they_are_taken(self, fleet):
        """Guards against answers that pile up for a node that is slow."""
        link = await fleet.connect()
        fleet.answer = bytes(8_000_000)
        link.transport.pause_reading()
        call = asyncio.ensure_future(send(link, b"r"))
        await until(lambda: fleet.limiter.account.used > 2_000_000)
        assert (await send(await fleet.connect(), b"s")).reason is (
            Reason.NO_ROOM
        )
        link.transport.resume_reading()
        assert (await call).outcome is Outcome.ANSWERED
        await until(lambda: fleet.limiter.account.used == 2 * CONNECTION_BYTES)


class TestQuestions:
    """Messages that are answered with longer ones."""

    async def test_a_second_hello_closes_the_connection(self, fleet):
        """Guards against short messages that each get all records."""
        link = await fleet.connect()
        link.send(Hello(RECORD, True))
        await until(lambda: link.transport is None)

    async def test_answers_have_a_rate(self, fleet):
        """Guards against a node that is busy with one asker's questions."""
        link = await fleet.connect()
        (connection,) = fleet.connections
        answered = sum(connection.may_answer() for _ in range(1000))
        assert 0 < answered < 100
        link.send(Ping())
        await until(lambda: not link.ping_sent_at)


class TestReplies:
    """Memory for replies at the node that sent the calls."""

    async def test_a_reply_without_room_fails_its_call_only(self, fleet):
        """Guards against a reply that is kept whatever memory there is."""
        link = await fleet.connect()
        link.account = MemoryAccount(300_000)
        fleet.answer = bytes(1_000_000)
        reply = await send(link, b"r")
        assert reply.outcome is Outcome.UNKNOWN
        assert reply.reason is Reason.TOO_LARGE
        fleet.answer = bytes(100_000)
        reply = await send(link, b"s")
        assert reply.outcome is Outcome.ANSWERED
        assert reply.body == fleet.answer
        await until(lambda: link.account.used == 0)

    async def test_a_lost_connection_frees_its_reply(self, fleet):
        """Guards against memory that is never returned."""
        link = await fleet.connect()
        link.account = MemoryAccount(ROOM)
        assert link.admit_frame(REPLY_TAG, 1, 500_000) is False
        call = asyncio.ensure_future(send(link, b"r"))
        await until(lambda: link.pending)
        (number,) = link.pending
        assert link.admit_frame(REPLY_TAG, number, 500_000)
        assert link.account.used >= 500_000
        link.close()
        await call
        assert link.account.used == 0
