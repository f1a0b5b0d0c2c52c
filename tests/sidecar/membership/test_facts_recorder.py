"""Tests of facts on the local server that are recorded in the store."""

import asyncio
import os

import pytest
from vanillamast_sidecar.errors import StoreRefusedError
from vanillamast_sidecar.membership import facts_recorder
from vanillamast_sidecar.membership.facts_recorder import FactsRecorder
from vanillamast_sidecar.membership.instance_facts import (
    InstanceFacts,
    merge_facts,
)
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.observability.event_logger import EventLogger


def departed(name: str, born_ms: int) -> InstanceFacts:
    """Returns the facts on a server that has left."""
    return InstanceFacts(name, born_ms, leaving=True)


class Recorder(FactsRecorder):
    """A recorder whose node has the facts that were started last.

    Attributes:
      known: Those facts.
      delay_s: Delay that spreads the writes of a fleet.
    """

    def __init__(self, store):
        log = EventLogger("m1", os.open(os.devnull, os.O_WRONLY))
        super().__init__(
            store,
            lambda: NodeRecord(
                "10.0.0.1:1", "a", 5, 0, False, None, facts=self.known
            ),
            lambda: self.delay_s,
            log,
        )
        self.known = ()
        self.delay_s = 0.0

    def start(self, *facts):
        """Starts to write facts in addition to the known ones."""
        self.known = merge_facts(self.known, facts)
        super().start(self.known)


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
    monkeypatch.setattr(facts_recorder, "FIRST_RETRY_DELAY_S", 0.01)
    return Recorder(store)


class TestFactsRecorder:
    """The store has a departure before it is acknowledged."""

    async def test_a_departure_is_written_once(self, recorder, store):
        """Guards against a write for each heartbeat of a draining server."""
        for _ in range(3):
            recorder.start(departed("i-1", 7))
            assert await recorder.wait(5.0)
        assert [record.facts[0].id for record in store.records] == ["i-1"]

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
        assert [record.facts[0].born_ms for record in store.records] == [7]

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
        assert store.records[-1].facts[0].id == "i-2"

    async def test_changes_of_a_limit_are_written_together(
        self, recorder, store, monkeypatch
    ):
        """Guards against a write for each response that names a limit."""
        monkeypatch.setattr(facts_recorder, "LIMIT_DELAY_S", 0.2)
        for revision in range(1, 6):
            recorder.start(InstanceFacts("i-1", 7, False, 9.0, revision))
            await asyncio.sleep(0.01)
        async with asyncio.timeout(5.0):
            while recorder.pending is not None:
                await asyncio.sleep(0.01)
        assert [r.facts[0].limit_revision for r in store.records] == [5]

    async def test_a_departure_does_not_wait_for_a_limit(
        self, recorder, store, monkeypatch
    ):
        """Guards against an acknowledgement before the store has it."""
        monkeypatch.setattr(facts_recorder, "LIMIT_DELAY_S", 60.0)
        recorder.start(InstanceFacts("i-1", 7, False, 9.0, 1))
        await asyncio.sleep(0)
        recorder.start(departed("i-1", 7))
        assert await recorder.wait(5.0)
        assert store.records[-1].facts == (
            InstanceFacts("i-1", 7, True, 9.0, 1),
        )

    async def test_writes_of_a_fleet_are_spread(
        self, recorder, store, monkeypatch
    ):
        """Guards against all nodes that write a new limit at once."""
        monkeypatch.setattr(facts_recorder, "LIMIT_DELAY_S", 0.0)
        recorder.delay_s = 60.0
        recorder.start(InstanceFacts("i-1", 7, False, 9.0, 1))
        await asyncio.sleep(0.05)
        assert store.records == []
        # A departure is written at once all the same.
        recorder.start(departed("i-1", 7))
        assert await recorder.wait(5.0)
        assert len(store.records) == 1
