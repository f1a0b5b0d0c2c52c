"""Tests of how much a node that is behind reads of the store."""

import asyncio
import json
import os
import random

import pytest
from vanillamast_platform.log_store import LogStore
from vanillamast_platform.store_settings import StoreSettings
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.applied_operator_state import (
    AppliedOperatorState,
)
from vanillamast_sidecar.operator_state.operator_state_sync import (
    OperatorStateSync,
)
from vanillamast_sidecar.operator_state.reader_role import ReaderRole
from vanillamast_sidecar.operator_state.reader_timing import ReaderTiming
from vanillamast_sidecar.rollouts.move_table import MoveTable
from vanillamast_sidecar.settings import Address
from vanillamast_testing.emulator import EmulatedStore

from tests.sidecar.operator_state.test_operator_state_sync import FakeMesh

HOST = "127.24.0.10"
PORT = 18410
# A configuration near the longest record of the reference store.
CONFIG_BYTES = 200_000
# One record, the newest one as base64, and what surrounds them.
MAX_READ_BYTES = 2.4 * CONFIG_BYTES
# Calls that read the operator's stream: a poll that finds more than it returns,
# the newest records, and the next poll, which waits.
MAX_READS = 3
# Reads that end without a change stay out of the count.
TIMING = ReaderTiming.from_apply_s(12.0)
READ_PATHS = ("/api/log-read", "/api/log-newest")


def config(version: int) -> bytes:
    """Returns a configuration that does not compress."""
    filler = random.Random(version).randbytes(CONFIG_BYTES // 2).hex()
    return json.dumps(
        {"version": version, "resources": [], "filler": filler}
    ).encode()


class Reader:
    """A node that reads the emulated store, and what it has read.

    Attributes:
      store: The emulated store.
      version: Version of the configuration that was published last.
    """

    def __init__(self, store: EmulatedStore):
        self.store = store
        self.version = 0
        log = EventLogger("m1", os.open(os.devnull, os.O_WRONLY))
        self.client = LogStore(StoreSettings(Address(HOST, PORT)), log)
        mesh = FakeMesh()
        mesh.config_version = -1
        self.state = AppliedOperatorState(
            mesh,
            MoveTable(lambda _: None),
            lambda _: None,
            self.client.decode_snapshot,
            log,
            Metrics(),
        )
        self.sync = OperatorStateSync(
            self.client, mesh, self.state, log, Metrics(), TIMING
        )

    async def publish(self, count: int) -> None:
        """Publishes versions of the configuration."""
        for _ in range(count):
            self.version += 1
            await self.store.put("keyed.op", "config", config(self.version))
        # The store's handlers of polls on closed connections have ended.
        await asyncio.sleep(0.1)

    async def catch_up(self) -> None:
        """Waits until the node has the newest version."""
        async with asyncio.timeout(20.0):
            while (
                self.state.snapshot is None
                or self.state.snapshot.version < self.version
            ):
                await asyncio.sleep(0.01)
        # The next poll has begun.
        await asyncio.sleep(1.0)

    def start(self) -> None:
        """Starts to read."""
        self.sync._change_role(ReaderRole.READER)

    def stop(self) -> None:
        """Stops to read, as a node that is cut off from the store."""
        self.sync._change_role(ReaderRole.NONE)
        self.client.reset()

    def count_reads(self) -> tuple[int, int]:
        """Returns bytes and calls since the last count."""
        store = self.store
        counts = (
            sum(store.sent_bytes[path] for path in READ_PATHS),
            sum(store.calls[path] for path in READ_PATHS),
        )
        store.sent_bytes.clear()
        store.calls.clear()
        return counts


@pytest.fixture
async def reader():
    """Returns a node that has read the first version."""
    store = EmulatedStore(HOST, PORT)
    await store.start()
    reader = Reader(store)
    await reader.publish(1)
    reader.start()
    await reader.catch_up()
    reader.count_reads()
    yield reader
    reader.stop()
    await store.stop()


@pytest.mark.parametrize("missed", [3, 30])
class TestReadsOfNodeThatIsBehind:
    """What a node has to read does not grow with what it missed."""

    async def test_after_a_cut(self, reader, missed):
        """Guards against a node that reads every version of an outage."""
        reader.stop()
        await reader.publish(missed)
        reader.count_reads()
        reader.start()
        await reader.catch_up()
        read_bytes, reads = reader.count_reads()
        assert read_bytes < MAX_READ_BYTES
        assert reads <= MAX_READS

    async def test_in_a_storm_of_changes(self, reader, missed):
        """Guards against changes that come faster than a slow link is."""
        await reader.publish(1)
        while reader.state.snapshot.version < reader.version:
            await asyncio.sleep(0.01)
        # The node waits a while before it reads the next changes.
        reader.count_reads()
        await reader.publish(missed)
        await reader.catch_up()
        read_bytes, reads = reader.count_reads()
        assert read_bytes < MAX_READ_BYTES
        assert reads <= MAX_READS

    async def test_after_a_truncation(self, reader, missed):
        """Guards against a node that reads what is left of the history."""
        reader.stop()
        await reader.publish(missed)
        reader.store.partition("keyed.op", 0).trim(2)
        reader.count_reads()
        reader.start()
        await reader.catch_up()
        read_bytes, reads = reader.count_reads()
        assert read_bytes < MAX_READ_BYTES
        assert reads <= MAX_READS

    async def test_after_a_return_of_the_store(self, reader, missed):
        """Guards against a node that reads all versions of a new era."""
        copy = reader.store.make_copy()
        reader.stop()
        await reader.store.restore(copy)
        await reader.publish(missed)
        reader.count_reads()
        reader.start()
        await reader.catch_up()
        read_bytes, reads = reader.count_reads()
        assert read_bytes < MAX_READ_BYTES
        assert reads <= MAX_READS
