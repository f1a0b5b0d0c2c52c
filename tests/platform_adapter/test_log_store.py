"""Tests of the coordination store against the emulated platform."""

import asyncio
import json
import os
from unittest.mock import AsyncMock

import pytest
from vanillamast_platform.log_records import (
    encode_keyed_record,
    parse_read_answer,
)
from vanillamast_platform.log_store import (
    MAX_EARLIER_CALLS,
    MAX_PAGES,
    LogStore,
)
from vanillamast_platform.store_settings import StoreSettings
from vanillamast_sidecar.errors import (
    StoreConflictError,
    StoreRefusedError,
    StoreTruncatedError,
    StoreUnknownOutcomeError,
)
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.operator_state.evacuation import Evacuation
from vanillamast_sidecar.operator_state.store import OperatorUpdate
from vanillamast_sidecar.rollouts.move_spec import MoveSpec
from vanillamast_sidecar.rollouts.move_state import MoveState
from vanillamast_sidecar.settings import Address
from vanillamast_testing.emulator import EmulatedStore

HOST = "127.24.0.9"
PORT = 18409
SPEC = MoveSpec("s", "v2", 10.0, 3)


@pytest.fixture
async def emulated():
    """Starts an emulated store."""
    store = EmulatedStore(HOST, PORT)
    await store.start()
    yield store
    await store.stop()


@pytest.fixture
async def store(emulated):
    """Returns a `LogStore` on the emulated store."""
    log = EventLogger("m1", os.open(os.devnull, os.O_WRONLY))
    client = LogStore(StoreSettings(Address(HOST, PORT)), log)
    yield client
    client.reset()


class TestLogStore:
    """Each fault of the store has an error type of its own."""

    async def test_nodes_are_listed(self, store):
        """Guards against nodes that do not find each other."""
        first = NodeRecord("10.0.0.1:1", "a", 5, 0, False, None)
        second = NodeRecord("10.0.0.2:1", "b", 6, 0, False, None)
        await store.put_node(first)
        await store.put_node(second)
        await store.put_node(first)
        assert await store.list_nodes() == [first, second]

    async def test_foreign_records_hide_no_others(self, store, emulated):
        """Guards against one malformed record that stops the whole fleet."""
        node = NodeRecord("10.0.0.1:1", "a", 5, 0, False, None)
        await store.put_node(node)
        await emulated.put("keyed.vanillamast-nodes", "foreign", b"\xc1{")
        assert await store.list_nodes() == [node]
        value = json.dumps({"version": 4, "resources": []}).encode()
        await emulated.put("keyed.op", "config", value)
        await emulated.put("keyed.op", "rollout/s", b"nonsense")
        move = {"service": "t", "to": "v2", "over_s": 9.0}
        await emulated.put("keyed.op", "rollout/t", json.dumps(move).encode())
        for update in (
            await store.read_operator_state(),
            await store.poll_operator(0, 1.0),
        ):
            assert update.snapshot.version == 4
            assert [spec.service for spec in update.move_specs] == ["t"]

    async def test_evacuations_are_read(self, store, emulated):
        """Guards against an evacuation or its withdrawal that is missed."""
        await emulated.put("keyed.op", "evacuate/a", b"{}")
        await emulated.put("keyed.op", "evacuate/b", b"{}")
        await emulated.put("keyed.op", "evacuate/c", b"nonsense")
        await emulated.put("keyed.op", "evacuate/", b"{}")
        await emulated.put("keyed.op", "evacuate/b", b"")
        polled = await store.poll_operator(0, 1.0)
        found = sorted(polled.evacuations, key=lambda e: e.failure_domain)
        assert found == [Evacuation("a", True, 0), Evacuation("b", False, 4)]
        assert not polled.complete
        read = await store.read_operator_state()
        assert read.evacuations == [Evacuation("a", True, 0)]
        assert read.complete

    async def test_a_malformed_configuration_keeps_the_last_one(
        self, store, emulated
    ):
        """Guards against a reader that starts over for ever."""
        value = json.dumps({"version": 4, "resources": []}).encode()
        await emulated.put("keyed.op", "config", value)
        await emulated.put("keyed.op", "config", b"{")
        update = await store.poll_operator(0, 1.0)
        assert update.snapshot.version == 4
        assert update.next_offset == 2

    async def test_the_configuration_before_a_refused_one_is_found(
        self, store, emulated
    ):
        """Guards against a fleet that starts without any configuration."""
        for version, newest in ((2, 2), (9, 9), (4, 9)):
            value = json.dumps({"version": version, "resources": []}).encode()
            await emulated.put("keyed.op", "config", value)
            # A lower version that is read in the same call changes nothing.
            update = await store.poll_operator(0, 1.0)
            assert update.snapshot.version == newest
        await emulated.put("keyed.op", "config", b"{")
        for first_offset, version in ((0, 9), (1, 9), (2, 4)):
            emulated.partition("keyed.op", 0).trim(first_offset)
            update = await store.read_operator_state()
            assert update.snapshot.version == version
            assert update.next_offset == 4
        emulated.partition("keyed.op", 0).trim(3)
        assert (await store.read_operator_state()).snapshot is None

    async def test_an_unfinished_search_finds_nothing(self, store, emulated):
        """Guards against removed keys that are in force again."""
        value = json.dumps({"version": 4, "resources": []}).encode()
        await emulated.put("keyed.op", "config", value)
        await emulated.put("keyed.op", "config", b"{")
        # An answer without records never gets up to the refused one.
        empty = OperatorUpdate(0, None, [])
        store.poll_operator = AsyncMock(return_value=empty)
        assert (await store.read_operator_state()).snapshot is None
        assert store.poll_operator.await_count == MAX_EARLIER_CALLS

    async def test_a_change_ends_the_wait(self, store, emulated):
        """Guards against changes that are delivered only after a full wait."""
        update = await store.read_operator_state()
        waiting = asyncio.create_task(
            store.poll_operator(update.next_offset, 20.0)
        )
        await asyncio.sleep(0.05)
        value = json.dumps({"version": 4, "resources": []}).encode()
        await emulated.put("keyed.op", "config", value)
        update = await asyncio.wait_for(waiting, 5.0)
        assert update.snapshot.version == 4
        assert update.next_offset == 1

    async def test_deleted_records_are_reported(self, store, emulated):
        """Guards against a reader that waits for deleted records."""
        await emulated.put("keyed.op", "rollout/s", b"{}")
        emulated.partition("keyed.op", 0).trim(1)
        with pytest.raises(StoreTruncatedError) as caught:
            await store.poll_operator(0, 0.1)
        assert caught.value.first_offset == 1

    async def test_only_one_of_two_writers_succeeds(self, store):
        """Guards against two recorded ends of one move."""
        known = await store.read_move_states()
        await store.put_move_state(SPEC, MoveState.REVERTED, known.end_offset)
        with pytest.raises(StoreConflictError):
            await store.put_move_state(
                SPEC, MoveState.COMPLETE, known.end_offset
            )
        states = (await store.read_move_states()).states
        assert states == {"s": (MoveState.REVERTED, "v2", 3)}

    async def test_a_refusal_is_not_an_unknown_outcome(self, store, emulated):
        """Guards against a refused call that counts as possibly executed."""
        emulated.failure_mode = "unavailable"
        with pytest.raises(StoreRefusedError):
            await store.list_nodes()

    async def test_a_lost_answer_is_an_unknown_outcome(self, store, emulated):
        """Guards against a write that is repeated although it succeeded."""
        emulated.lose_answer_every = 1
        with pytest.raises(StoreUnknownOutcomeError):
            await store.put_move_state(SPEC, MoveState.ACTIVE, 0)
        emulated.lose_answer_every = 0
        states = (await store.read_move_states()).states
        assert states["s"][0] is MoveState.ACTIVE

    async def test_an_unresponsive_store_does_not_block(self, store, emulated):
        """Guards against a node that waits forever."""
        emulated.failure_mode = "unresponsive"
        with pytest.raises(StoreUnknownOutcomeError):
            await asyncio.wait_for(store.list_nodes(), 10.0)

    async def test_a_stopped_store_is_a_refusal(self, store, emulated):
        """Guards against an error without a type."""
        await emulated.stop()
        with pytest.raises(StoreRefusedError):
            await store.list_nodes()

    async def test_the_call_rate_of_a_node_is_limited(self, store, emulated):
        """Guards against a loop that exhausts the store's rate limit."""
        with pytest.raises(StoreRefusedError):
            for _ in range(100):
                await store.list_nodes()
        assert emulated.calls["/api/log-newest"] <= 25


class TestLogRecords:
    """The binary format of records."""

    def test_records_are_decoded_as_encoded(self):
        """Guards against keys and values that are split at a wrong byte."""
        body = (9).to_bytes(8, "big") + (2).to_bytes(8, "big")
        body += encode_keyed_record(
            "config", b"\x00value"
        ) + encode_keyed_record("k", b"")
        assert parse_read_answer(body) == (
            9,
            [("config", b"\x00value"), ("k", b"")],
        )

    def test_an_empty_record_hides_no_others(self):
        """Guards against a reader that never gets past a record."""
        body = bytes(16) + bytes(4) + encode_keyed_record("k", b"v")
        assert parse_read_answer(body)[1] == [("", b""), ("k", b"v")]

    @pytest.mark.parametrize("cut", [1, 7, 17, 21, 25])
    def test_a_truncated_answer_is_an_error(self, cut):
        """Guards against truncated records that are accepted."""
        body = bytes(16) + encode_keyed_record("config", b"value")
        with pytest.raises(ValueError):
            parse_read_answer(body[:cut])

    async def test_a_list_without_end_is_given_up(self, store):
        """Guards against pages that a faulty store sends for ever."""
        page = {
            "items": [{"key": "k", "value": "", "offset": 0}],
            "more": True,
            "end_offset": 1,
        }
        store.client.call = AsyncMock(return_value=json.dumps(page).encode())
        with pytest.raises(StoreUnknownOutcomeError):
            await store.list_nodes()
        assert store.client.call.await_count == MAX_PAGES
