"""Tests of a node whose tasks meet unexpected errors."""

import asyncio
from types import SimpleNamespace

from vanillamast_sidecar.errors import FrameError
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

    async def test_a_failed_shutdown_is_continued(self):
        """Guards against an error that cuts off the requests in progress."""
        lines = []
        node = Node.__new__(Node)
        node.log = SimpleNamespace(
            write=lambda kind, **fields: lines.append(kind)
        )
        starts = []

        async def stop():
            starts.append(len(starts))
            if len(starts) < 3:
                raise KeyError("unexpected")

        await asyncio.wait_for(node._complete(stop), 5.0)
        assert len(starts) == 3
        assert lines == ["node.task_failed"] * 2

    def test_a_record_that_cannot_be_sent_is_logged(self):
        """Guards against a request or a stop that ends with an announcement."""
        lines = []
        node = Node.__new__(Node)
        node.log = SimpleNamespace(
            write=lambda kind, **fields: lines.append(kind)
        )
        node.registry = SimpleNamespace(current=None, facts=())
        node.stopping = node.serves_while_stopping = False

        def announce(*_):
            raise FrameError("integer of more than 64 bits")

        node.mesh = SimpleNamespace(announce=announce)
        node._announce()
        assert lines == ["node.not_announced"]
