"""Tests of calls from one node to another."""

import asyncio

import pytest
from vanillamast_sidecar.call_result import CallResult
from vanillamast_sidecar.http_message import HttpResponse
from vanillamast_sidecar.load_report import LoadReport
from vanillamast_sidecar.messages import Call, Hello, Welcome
from vanillamast_sidecar.node_record import NodeRecord
from vanillamast_sidecar.outcome import Outcome
from vanillamast_sidecar.peer_link import PeerLink
from vanillamast_sidecar.peer_server import PeerServer

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
