"""The latest events of a node, for operators who follow them."""

import asyncio
import collections
import time
from typing import Any

from vanillamast_core.control import Notice

MAX_EVENTS = 1000


class EventHistory:
    """A bounded history of events that supports long polling.

    Attributes:
      events: The latest events as JSON objects, each with its `sequence`.
      sequence: Sequence number of the latest event, 0 before the first.
    """

    def __init__(self) -> None:
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self.sequence = 0
        self._event_added = asyncio.Event()

    def add(self, notice: Notice) -> None:
        """Adds an event and wakes waiting readers."""
        self.sequence += 1
        self.events.append(
            {
                "sequence": self.sequence,
                "time": time.time(),
                "kind": notice.kind,
                **notice.fields,
            }
        )
        self._event_added.set()
        self._event_added = asyncio.Event()

    async def read_after(
        self, sequence: int, wait_s: float
    ) -> list[dict[str, Any]]:
        """Returns events after a sequence number, waiting if there are none.

        Args:
          sequence: Sequence number of the last event that the reader has.
          wait_s: Longest wait.
        """
        if self.sequence <= sequence and wait_s > 0:
            try:
                await asyncio.wait_for(self._event_added.wait(), wait_s)
            except TimeoutError:
                return []
        return [e for e in self.events if e["sequence"] > sequence]
