"""Tests of the client of a store that is silent in part."""

import asyncio
import os

import pytest
from vanillamast_platform.log_store import LogStore
from vanillamast_platform.store_settings import StoreSettings
from vanillamast_sidecar.errors import StoreUnknownOutcomeError
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.settings import Address
from vanillamast_testing.emulator import EmulatedStore

HOST = "127.24.0.40"
PORT = 18440
CONFIG_BYTES = 400_000


@pytest.fixture
async def emulated():
    """Returns an emulated store whose operator's topic is silent."""
    store = EmulatedStore(HOST, PORT)
    await store.start()
    await store.put("keyed.op", "unused", bytes(CONFIG_BYTES))
    store.silent_topics.add("keyed.op")
    yield store
    await store.stop()


@pytest.fixture
async def store(emulated):
    """Returns the client of a node."""
    log = EventLogger("m1", os.open(os.devnull, os.O_WRONLY))
    client = LogStore(StoreSettings(Address(HOST, PORT)), log)
    yield client
    client.reset()


class TestSilentTopic:
    """A call without an answer says something about its own path only."""

    async def test_idle_connections_are_not_used_again(self, store):
        """Guards against a repeated read on a connection that is silent too."""
        await store.list_nodes()
        assert store.client.idle
        reads = [
            asyncio.create_task(store.poll_operator(0, 0.0)) for _ in range(2)
        ]
        await store.list_nodes()
        results = await asyncio.gather(*reads, return_exceptions=True)
        assert all(isinstance(r, StoreUnknownOutcomeError) for r in results)
        assert store.client.idle == []
        assert (await store.list_nodes()) == []

    async def test_other_calls_go_on(self, store, emulated):
        """Guards against a silent topic that ends calls on others."""
        emulated.delay_s = 0.9
        read = asyncio.create_task(store.poll_operator(0, 0.0))
        await asyncio.sleep(0.5)
        assert (await store.list_nodes()) == []
        with pytest.raises(StoreUnknownOutcomeError):
            await read

    async def test_parts_of_an_answer_are_reported(self, store, emulated):
        """Guards against a long answer that is taken for silence."""
        emulated.silent_topics.clear()
        parts = []
        await store.poll_operator(0, 0.0, lambda: parts.append(1))
        assert parts
        before = len(parts)
        await store.list_nodes()
        assert len(parts) == before
