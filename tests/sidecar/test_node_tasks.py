"""Tests of a node whose tasks meet unexpected errors."""

import asyncio
from types import SimpleNamespace

from vanillamast_sidecar.node import Node


class TestSupervision:
    """An unexpected error in one task costs that task a moment."""

    async def test_a_failed_task_is_logged_and_started_again(self):
        """Guards against a node that runs on without one of its tasks."""
        lines = []
        node = Node.__new__(Node)
        node.log = SimpleNamespace(
            write=lambda kind, **fields: lines.append((kind, fields["error"]))
        )
        starts = []

        async def work():
            starts.append(len(starts))
            if len(starts) < 3:
                raise KeyError("unexpected")
            await asyncio.sleep(60.0)

        task = asyncio.create_task(node._supervise(work))
        async with asyncio.timeout(5.0):
            while len(starts) < 3:
                await asyncio.sleep(0.01)
        task.cancel()
        assert lines == [("node.task_failed", "KeyError('unexpected')")] * 2
