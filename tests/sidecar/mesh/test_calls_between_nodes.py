"""Tests of calls from one node to another."""

import asyncio

import pytest
from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.admission.reason import Reason
from vanillamast_sidecar.http.http_message import HttpResponse
from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.mesh.messages import Call, Hello, Welcome
from vanillamast_sidecar.mesh.peer_link import PeerLink
from vanillamast_sidecar.mesh.peer_server import PeerServer

HOST = "127.25.0.1"
PORT = 18500
LOAD = LoadReport(0, 0, 0.0, 0.0)
RECORD = NodeRecord(f"{HOST}:{PORT}", "a", 1, 0, False, None)


class Pair:
    """A link to a peer server; the test stands in for the backend server.

    Attributes:
      calls: Calls that arrived at the second hop.
      ran: Bodies of the calls that it ran.
      slot: Set when a slot is free.
      server_side: The peer server's connection.
      lost: Number of lost connections.
    """

    def __init__(self) -> None:
        self.calls = []
        self.ran = []
        self.slot = asyncio.Event()
        self.slot.set()
        self.server_side = None
        self.lost = 0

    async def run(self, call):
        """Runs a call as the second hop does."""
        self.calls.append(call)
        await self.slot.wait()
        body = call.body
        if call.confirm is not None:
            body = await call.confirm()
            if body is None:
                return CallResult(Outcome.NOT_RUN)
        self.ran.append(body)
        await asyncio.sleep(0.05)
        return CallResult(
            Outcome.ANSWERED, response=HttpResponse(200, [], body)
        )

    def handle_message(self, connection, message):
        """Answers a hello."""
        if isinstance(message, Hello):
            self.server_side = connection
            connection.send(Welcome(RECORD, [], [], LOAD))

    def handle_link_lost(self, link):
        """Counts a lost connection."""
        self.lost += 1


@pytest.fixture
async def pair():
    """Connects a link to a server."""
    found = Pair()
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: PeerServer(
            found.run, lambda: LOAD, found.handle_message, lambda _: None
        ),
        HOST,
        PORT,
    )
    found.link = PeerLink(
        f"{HOST}:{PORT}", False, lambda *_: None, found.handle_link_lost
    )
    assert await found.link.open(HOST, PORT, Hello(RECORD, False))
    yield found
    found.link.close()
    server.close()


async def until(check):
    """Waits until a check holds; a timeout fails the test."""
    async with asyncio.timeout(5.0):
        while not check():
            await asyncio.sleep(0.01)


async def send(pair, idempotent, body=b"body", timeout_s=5.0):
    """Sends a call over the link."""

    def make(number, sent_body):
        return Call(
            number,
            asyncio.get_running_loop().time(),
            timeout_s,
            timeout_s,
            b"id",
            "i-1",
            1,
            "route",
            1,
            idempotent,
            "POST",
            "/x",
            [],
            sent_body,
        )

    return await pair.link.send_call(make, body, idempotent, timeout_s)


class SlowTransport:
    """Sends long messages in pieces, as a slow link does.

    Attributes:
      transport: The transport.
      pieces: Pieces of a long message; the last ones are never sent if
        `sent_pieces` is lower.
      sent_pieces: Pieces that are sent.
    """

    INTERVAL_S = 0.15

    def __init__(self, transport, pieces, sent_pieces):
        self.transport = transport
        self.pieces = pieces
        self.sent_pieces = sent_pieces

    def __getattr__(self, name):
        return getattr(self.transport, name)

    def write(self, data):
        """Sends data, in pieces if it is long."""
        if len(data) < 1000:
            self.transport.write(data)
            return
        size = len(data) // self.pieces + 1
        loop = asyncio.get_running_loop()
        for number in range(self.sent_pieces):
            piece = data[number * size : (number + 1) * size]
            loop.call_later(
                number * self.INTERVAL_S, self.transport.write, piece
            )


class TestLongBodies:
    """A body that takes long to arrive runs, and one that stops does not."""

    BODY = bytes(10_000)
    PIECES = 6  # Together three times the wait for a confirmation.

    async def test_a_body_on_a_slow_link_runs(self, pair):
        """Guards against an upload that no server can ever run."""
        pair.link.writer.transport = SlowTransport(
            pair.link.transport, self.PIECES, self.PIECES
        )
        reply = await send(pair, False, self.BODY)
        assert reply.outcome is Outcome.ANSWERED
        assert pair.ran == [self.BODY]

    async def test_a_body_that_stops_arriving_gives_its_slot_back(self, pair):
        """Guards against a slot that a lost sender holds."""
        pair.link.writer.transport = SlowTransport(
            pair.link.transport, self.PIECES, self.PIECES - 1
        )
        task = asyncio.create_task(send(pair, False, self.BODY, 60.0))
        await asyncio.sleep(self.PIECES * SlowTransport.INTERVAL_S)
        await until(lambda: not pair.server_side.confirmations)
        assert pair.ran == []
        pair.link.close()
        await task

    async def test_a_body_does_not_arrive_past_the_deadline(self, pair):
        """Guards against a slot that is held for a caller that has gone."""
        pair.link.writer.transport = SlowTransport(
            pair.link.transport, self.PIECES, self.PIECES
        )
        await send(pair, False, self.BODY, 0.2)
        await until(lambda: not pair.server_side.confirmations)
        assert pair.ran == []


class TestCallsBetweenNodes:
    """What the first hop reports when a connection breaks."""

    @pytest.mark.parametrize("idempotent", [True, False])
    async def test_a_call_transfers_its_body(self, pair, idempotent):
        """Guards against a request that runs without its body."""
        reply = await send(pair, idempotent)
        assert reply.outcome is Outcome.ANSWERED
        assert reply.body == b"body"

    async def test_a_call_without_a_slot_carries_no_body(self, pair):
        """Guards against transferring the body of a refused call."""
        pair.slot.clear()
        task = asyncio.create_task(send(pair, False))
        while not pair.calls:
            await asyncio.sleep(0.01)
        assert pair.calls[0].body == b""
        pair.slot.set()
        assert (await task).body == b"body"

    async def test_an_unconfirmed_call_has_not_run(self, pair):
        """Guards against an unknown outcome of a call that never ran."""
        pair.slot.clear()
        task = asyncio.create_task(send(pair, False))
        while not pair.calls:
            await asyncio.sleep(0.01)
        pair.link.close()
        assert (await task).outcome is Outcome.NOT_RUN
        pair.slot.set()
        await asyncio.sleep(0.5)
        assert pair.ran == []

    async def test_a_confirmed_call_may_have_run(self, pair):
        """Guards against a second run after a lost connection."""
        task = asyncio.create_task(send(pair, False))
        while not pair.ran:
            await asyncio.sleep(0.005)
        pair.link.close()
        assert (await task).outcome is Outcome.UNKNOWN

    async def test_a_cancelled_call_never_runs(self, pair):
        """Guards against a run after the request moved to another server."""
        pair.slot.clear()
        task = asyncio.create_task(send(pair, False))
        while not pair.calls:
            await asyncio.sleep(0.01)
        assert pair.link.give_up_retryable_calls() == 1
        assert (await task).outcome is Outcome.NOT_RUN
        pair.slot.set()
        await asyncio.sleep(0.5)
        assert pair.ran == []

    async def test_a_call_without_a_reply_times_out(self, pair):
        """Guards against a caller that waits forever."""
        pair.slot.clear()
        reply = await send(pair, True, timeout_s=0.2)
        assert reply.outcome is Outcome.EXPIRED


class TestQuestionsForSlots:
    """Calls that may not wait, at a node whose server is busy."""

    async def test_they_are_refused_without_running(self, pair):
        """Guards against a question that runs or waits at a busy node."""
        pair.server_side.refuse_if_busy = lambda: CallResult(
            Outcome.NOT_RUN, Reason.BUSY
        )

        def make(number, body):
            now = asyncio.get_running_loop().time()
            fields = (number, now, 5.0, 5.0, b"id", "i-1", 1, "route", 1, True)
            return Call(*fields, "GET", "/x", [], body, may_wait=False)

        reply = await pair.link.send_call(make, b"", True, 5.0)
        assert (reply.outcome, reply.reason) == (Outcome.NOT_RUN, Reason.BUSY)
        assert not pair.calls
