"""Tests of records that are written again after a return of the store."""

import asyncio
import collections
import os
import random

import pytest
from vanillamast_sidecar.errors import StoreEraError
from vanillamast_sidecar.membership.record_restorer import RecordRestorer
from vanillamast_sidecar.membership.restore_delay import choose_restore_delay
from vanillamast_sidecar.observability.event_logger import EventLogger

WRITES_PER_S = 400.0


class TestRestoreDelay:
    """A whole fleet writes within the store's rate."""

    @pytest.mark.parametrize("nodes", [70, 300, 1200, 3000])
    def test_no_second_has_more_writes_than_the_store_takes(self, nodes):
        """Guards against a herd that keeps the store from answering."""
        rng = random.Random(nodes)
        times = sorted(
            choose_restore_delay(nodes, WRITES_PER_S, rng) for _ in range(nodes)
        )
        window: collections.deque[float] = collections.deque()
        for time in times:
            window.append(time)
            while window[0] < time - 1.0:
                window.popleft()
            assert len(window) <= 0.75 * WRITES_PER_S
        assert times[-1] <= max(2.0, 2.0 * nodes / WRITES_PER_S)


class TestRecordRestorer:
    """Each return of the store is followed by a write."""

    async def test_a_failed_write_is_repeated(self):
        """Guards against a record that a second return loses."""
        failures = [StoreEraError("era"), StoreEraError("era")]
        written = asyncio.Event()

        async def write():
            if failures:
                raise failures.pop()
            written.set()

        log = EventLogger("m1", os.open(os.devnull, os.O_WRONLY))
        restorer = RecordRestorer(write, lambda: 0.0, log)
        task = asyncio.create_task(restorer.run())
        await asyncio.sleep(0.01)
        assert not written.is_set()
        restorer.requested.set()
        await asyncio.wait_for(written.wait(), 5.0)
        await asyncio.sleep(0.01)
        assert not restorer.requested.is_set()
        task.cancel()
