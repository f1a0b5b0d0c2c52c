"""Tests of the store's era, which rises when it returns from a copy."""

import asyncio
import json
import os

import pytest
from aiohttp import web
from vanillamast_platform.log_store import LogStore
from vanillamast_platform.store_client import StoreClient
from vanillamast_platform.store_settings import StoreSettings
from vanillamast_sidecar.errors import (
    StoreConflictError,
    StoreEraError,
    StoreRefusedError,
    StoreTruncatedError,
)
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.rollouts.move_spec import MoveSpec
from vanillamast_sidecar.rollouts.move_state import MoveState
from vanillamast_sidecar.settings import Address
from vanillamast_testing.emulator import EmulatedStore

HOST = "127.24.1.9"
PORT = 18410
SPEC = MoveSpec("s", "v2", 10.0, 0)


@pytest.fixture
async def emulated():
    """Starts an emulated store with one configuration."""
    store = EmulatedStore(HOST, PORT)
    await store.start()
    value = json.dumps({"version": 4, "resources": []}).encode()
    await store.put("keyed.op", "config", value)
    yield store
    await store.stop()


@pytest.fixture
async def store(emulated):
    """Returns a `LogStore` on the emulated store."""
    log = EventLogger("m1", os.open(os.devnull, os.O_WRONLY))
    client = LogStore(StoreSettings(Address(HOST, PORT)), log)
    yield client
    client.reset()


class TestReturnOfTheStore:
    """Calls before, during and after a return from an older copy."""

    async def test_a_waiting_poll_ends_with_the_era(self, store, emulated):
        """Guards against a reader that waits at an offset of an old era."""
        update = await store.read_operator_state()
        assert update.era == 0
        copy = emulated.make_copy()
        await emulated.put("keyed.op", "junk", b"x")
        poll = asyncio.create_task(store.poll_operator(2, 20.0))
        await asyncio.sleep(0.05)
        seen = []
        store.on_era = seen.append
        await emulated.restore(copy)
        with pytest.raises(StoreTruncatedError) as caught:
            await asyncio.wait_for(poll, 5.0)
        assert caught.value.first_offset == 0
        assert (store.era, seen) == (1, [1])
        assert (await store.read_operator_state()).era == 1

    async def test_another_call_ends_a_poll_at_a_reused_offset(
        self, store, emulated
    ):
        """Guards against a change that a poll of the old era steps over."""
        update = await store.read_operator_state()
        poll = asyncio.create_task(
            store.poll_operator(update.next_offset, 20.0)
        )
        await asyncio.sleep(0.05)
        emulated.era += 1
        with pytest.raises(StoreEraError):
            await store.list_nodes()
        with pytest.raises(StoreEraError):
            await asyncio.wait_for(poll, 5.0)

    async def test_a_condition_of_the_old_era_is_not_met(self, store, emulated):
        """Guards against a write that takes another era's end for its own."""
        copy = emulated.make_copy()
        await store.put_move_state(SPEC, MoveState.ACTIVE, 0)
        await emulated.restore(copy)
        with pytest.raises(StoreConflictError):
            await store.put_move_state(SPEC, MoveState.COMPLETE, 1)
        assert (await store.read_move_states()).states == {}

    async def test_the_operator_learns_what_was_lost(self, emulated):
        """Guards against a deleted key that the emulator brings back."""
        await emulated.put("keyed.op", "evacuate/a", b"{}")
        copy = emulated.make_copy()
        await emulated.put("keyed.op", "evacuate/a", b"")
        await emulated.put("keyed.op", "evacuate/b", b"{}")
        lost = await emulated.restore(copy)
        assert lost == {"evacuate/a": b"", "evacuate/b": b"{}"}

    async def test_an_error_names_the_era_as_well(self, store, emulated):
        """Guards against a refused node that takes old answers for new."""
        await store.list_nodes()
        emulated.era = 2
        emulated.failure_mode = "unavailable"
        with pytest.raises(StoreRefusedError):
            await store.list_nodes()
        assert store.era == 2

    async def test_the_first_era_voids_no_call(self, store, emulated):
        """Guards against a started node whose first calls fail."""
        emulated.era = 3
        assert (await store.read_operator_state()).era == 3

    async def test_a_store_without_eras_is_of_era_0(self, store, emulated):
        """Guards against a deployment that an unknown header stops."""
        emulated.names_era = False
        assert (await store.read_operator_state()).era == 0
        assert (await store.poll_operator(0, 0.1)).era == 0

    async def test_an_era_of_another_node_voids_older_answers(
        self, store, emulated
    ):
        """Guards against a late answer that brings an older state back."""
        await store.list_nodes()
        store.note_era(1)
        with pytest.raises(StoreEraError):
            await store.read_operator_state()
        emulated.era = 1
        assert (await store.read_operator_state()).era == 1


class TestLateAnswers:
    """Answers on several connections that cross each other."""

    @pytest.mark.parametrize(
        "value", ["", "x", "-1", "1e3", "9" * 40, "\u0661"]
    )
    async def test_a_malformed_era_counts_as_0(self, value):
        """Guards against a header of a proxy that poisons the fleet."""

        async def answer(_):
            return web.Response(headers={"Store-Era": value})

        client, runner = await start(answer)
        await client.call("GET", "/")
        assert client.era == 0
        await runner.cleanup()

    async def test_a_slow_answer_of_an_earlier_era_is_dropped(self):
        """Guards against an acknowledgement that the return has voided."""
        answers = iter([("0", 0.0), ("0", 0.3), ("1", 0.0), ("1", 0.0)])

        async def answer(_):
            era, delay_s = next(answers)
            await asyncio.sleep(delay_s)
            return web.Response(headers={"Store-Era": era}, body=era.encode())

        client, runner = await start(answer)
        assert await client.call("GET", "/") == b"0"
        slow = asyncio.create_task(client.call("POST", "/slow"))
        await asyncio.sleep(0.05)
        with pytest.raises(StoreEraError):
            await client.call("GET", "/first")
        with pytest.raises(StoreEraError):
            await slow
        assert await client.call("GET", "/") == b"1"
        await runner.cleanup()


async def start(answer):
    """Starts a server with one handler; returns a client and the runner."""
    app = web.Application()
    app.router.add_route("*", "/{tail:.*}", answer)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, HOST, PORT + 1).start()
    return StoreClient(StoreSettings(Address(HOST, PORT + 1))), runner
