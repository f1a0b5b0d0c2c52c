"""Tests of a log that answers a standalone node with bytes without end."""

import asyncio

import pytest

from tests.node.proxy.test_untrusted_clients import (
    HOST,
    MEMORY_MB,
    StandaloneNode,
)
from tests.platform_path.endless_answers import FLOODS, FloodServer
from tests.platform_path.process_usage import read_peak_mb

HOLD_S = 3.0


class TestEndlessLog:
    """A process survives whatever answers at the address of the log."""

    @pytest.mark.parametrize("kind", FLOODS)
    async def test_node_stays_within_its_limits(self, tmp_path, kind):
        """Guards against an answer of the log that takes all memory."""
        node = StandaloneNode(tmp_path)
        log = FloodServer(*FLOODS[kind])
        await log.start(HOST, node.log_port)
        try:
            await node.process.start()
            await asyncio.sleep(HOLD_S)
            assert node.process.running
            await node.wait_until_answering()
            peak_mb = read_peak_mb(node.process)
        finally:
            log.close()
            await node.process.kill()
        print(f"{kind}: {peak_mb:.0f} MB")
        assert peak_mb < MEMORY_MB
