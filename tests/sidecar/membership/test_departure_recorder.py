"""Tests of departures that are recorded in the store."""

import asyncio
import os

import pytest
from vanillamast_sidecar.errors import StoreRefusedError
from vanillamast_sidecar.membership import departure_recorder
from vanillamast_sidecar.membership.departure_recorder import DepartureRecorder
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.observability.event_logger import EventLogger


def departed(name: str, born_ms: int) -> InstanceRecord:
    """Returns a server that has left."""
    return InstanceRecord(
        name, born_ms, 1, "s", "v1", 9, False, True, 0.0, "10.0.0.1:80"
    )


class FakeStore:
    """Keeps records, after a number of refusals.

    Attributes:
      refusals: Writes to refuse.
      delay_s: Time that a write takes.
      records: Records that were written.
    """

    def __init__(self):
        self.refusals = 0
        self.delay_s = 0.0
        self.records = []

    async def put_node(self, record):
        """Writes a record."""
        await asyncio.sleep(self.delay_s)
        if self.refusals:
            self.refusals -= 1
            raise StoreRefusedError("unavailable")
        self.records.append(record)


@pytest.fixture
def store():
    """Returns a store."""
    return FakeStore()


@pytest.fixture
def recorder(store, monkeypatch):
    """Returns a recorder that tries again at once."""
    monkeypatch.setattr(departure_recorder, "FIRST_RETRY_DELAY_S", 0.01)
    return DepartureRecorder(
        store,
        lambda instance: NodeRecord("10.0.0.1:1", "a", 5, 0, False, instance),
        EventLogger("m1", os.open(os.devnull, os.O_WRONLY)),
    )


class TestDepartureRecorder:
    """The store has a departure before it is acknowledged."""

    async def test_a_departure_is_written_once(self, recorder, store):
        """Guards against a write for each heartbeat of a draining server."""
        for _ in range(3):
            recorder.start(departed("i-1", 7))
            assert await recorder.wait(5.0)
        assert [record.instance.id for record in store.records] == ["i-1"]

    async def test_heartbeats_meanwhile_cause_no_second_write(
        self, recorder, store
    ):
        """Guards against writes that add up while the store is slow."""
        store.delay_s = 0.05
        recorder.start(departed("i-1", 7))
        await asyncio.sleep(0.01)
        recorder.start(departed("i-1", 7))
        assert await recorder.wait(5.0)
        assert len(store.records) == 1

    async def test_a_refused_write_is_repeated(self, recorder, store):
        """Guards against a departure that an outage of the store loses."""
        store.refusals = 3
        recorder.start(departed("i-1", 7))
        assert await recorder.wait(5.0)
        assert [record.instance.born_ms for record in store.records] == [7]

    async def test_a_slow_store_does_not_hold_the_caller(self, recorder, store):
        """Guards against a server that gets no acknowledgement in time."""
        store.delay_s = 60.0
        recorder.start(departed("i-1", 7))
        assert not await asyncio.wait_for(recorder.wait(0.01), 5.0)

    async def test_a_newer_departure_follows_the_one_being_written(
        self, recorder, store
    ):
        """Guards against a second departure that the first one hides."""
        store.delay_s = 0.01
        recorder.start(departed("i-1", 7))
        await asyncio.sleep(0)
        recorder.start(departed("i-2", 8))
        assert await recorder.wait(5.0)
        assert store.records[-1].instance.id == "i-2"
