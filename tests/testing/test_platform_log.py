"""Tests of the platform log's stand-in over HTTP."""

import asyncio
import random
from base64 import b64decode

import aiohttp
import pytest
import pytest_asyncio
from vanillamast_testing import (
    PlatformLog,
    PlatformLogSettings,
    PlatformLogStore,
    serve,
)


class LogClient:
    """A client of the stand-in with one or more addresses."""

    def __init__(self, session: aiohttp.ClientSession, addresses: list[str]):
        self.session = session
        self.addresses = addresses

    async def append(self, data: bytes, at: int = 0) -> tuple[int, dict]:
        """Appends; returns the status and the answer."""
        url = f"http://{self.addresses[at]}/v1/append"
        async with self.session.post(url, data=data) as answer:
            return answer.status, await answer.json()

    async def read(self, after: int, wait_ms: int = 0) -> tuple[int, dict]:
        """Reads; returns the status and the answer."""
        url = f"http://{self.addresses[0]}/v1/read"
        parameters = {"after": after, "wait_ms": wait_ms}
        async with self.session.get(url, params=parameters) as answer:
            return answer.status, await answer.json()

    async def faults(self, **faults: object) -> int:
        """Replaces the faults; returns the status."""
        url = f"http://{self.addresses[0]}/v1/faults"
        async with self.session.post(url, json=faults) as answer:
            return answer.status


@pytest_asyncio.fixture
async def client():
    """A client of a fresh log with two addresses."""
    settings = PlatformLogSettings(appends_per_s=20, retain_count=5)
    log = PlatformLog(PlatformLogStore(settings), random.Random(1))
    async with (
        serve(log.app(), "127.0.0.1:0", "127.0.0.1:0") as addresses,
        aiohttp.ClientSession() as session,
    ):
        yield LogClient(session, addresses)


class TestPlatformLog:
    """Appending, reading and faults."""

    async def test_reads_what_was_appended(self, client: LogClient):
        """Guards against altered records and wrong bounds."""
        for index in range(7):
            assert await client.append(bytes([index, 255])) == (
                200,
                {"offset": index + 1},
            )
        status, answer = await client.read(after=4)
        assert (status, answer["first"], answer["next"]) == (200, 3, 8)
        assert [
            (offset, b64decode(data)) for offset, data in answer["entries"]
        ] == [(5, b"\x04\xff"), (6, b"\x05\xff"), (7, b"\x06\xff")]

    async def test_long_poll_returns_early(self, client: LogClient):
        """Guards against a long poll that misses an append."""
        poll = asyncio.create_task(client.read(after=0, wait_ms=30_000))
        await asyncio.sleep(0.05)
        await client.append(b"x")
        _, answer = await asyncio.wait_for(poll, 20)
        assert answer["entries"] == [[1, "eA=="]]

    async def test_outage_ends_long_polls_and_refuses(self, client: LogClient):
        """Guards against an outage in which waiting reads succeed."""
        poll = asyncio.create_task(client.read(after=0, wait_ms=30_000))
        await asyncio.sleep(0.05)
        await client.faults(outage=True)
        assert (await asyncio.wait_for(poll, 20))[0] == 503
        assert (await client.append(b"x"))[0] == 503
        await client.faults()
        assert await client.append(b"x") == (200, {"offset": 1})

    async def test_lost_answer_takes_effect(self, client: LogClient):
        """Guards against a fault that loses the append with its answer."""
        await client.faults(lose_next=1)
        with pytest.raises(aiohttp.ServerDisconnectedError):
            await client.append(b"x")
        assert await client.append(b"y") == (200, {"offset": 2})
        _, answer = await client.read(after=0)
        assert answer["entries"][0] == [1, "eA=="]

    async def test_cut_address_does_not_append(self, client: LogClient):
        """Guards against a cut that only hides the answer."""
        await client.faults(cut=[client.addresses[1]])
        with pytest.raises(aiohttp.ServerDisconnectedError):
            await client.append(b"x", at=1)
        assert await client.append(b"y") == (200, {"offset": 1})

    async def test_rate_is_limited(self, client: LogClient):
        """Guards against a stand-in that accepts more than the platform."""
        answers = await asyncio.gather(
            *(client.append(b"x") for _ in range(60))
        )
        statuses = [status for status, _ in answers]
        assert 429 in statuses
        _, answer = await client.read(after=0)
        assert answer["next"] == statuses.count(200) + 1

    async def test_unknown_fault_is_refused(self, client: LogClient):
        """Guards against a misspelt fault that tests nothing."""
        assert await client.faults(outrage=True) == 400
