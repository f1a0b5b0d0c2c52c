"""Slots of the fake backend server."""

import asyncio
import collections

from vanillamast_core import VanillamastError


class ShedError(VanillamastError):
    """All slots and the queue are full; the request did not run."""


class SlotPool:
    """Requests that run at once, and a small queue in order of arrival.

    Attributes:
      slots: Requests that may run at once.
      queue_limit: Requests that may wait.
      running: Requests that run.
      waiting: Requests that wait, the oldest first.
    """

    def __init__(self, slots: int, queue_limit: int):
        self.slots = slots
        self.queue_limit = queue_limit
        self.running = 0
        self.waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    @property
    def busy(self) -> float:
        """Share of the slots that are busy."""
        return self.running / self.slots

    async def acquire(self) -> None:
        """Takes a slot.

        Raises:
          ShedError: The queue is full.
        """
        if self.running < self.slots:
            self.running += 1
            return
        if len(self.waiting) >= self.queue_limit:
            raise ShedError("no slot is free")
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self.waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            elif waiter in self.waiting:
                self.waiting.remove(waiter)
            raise

    def release(self) -> None:
        """Gives a slot back or passes it to the oldest that waits."""
        while self.waiting:
            waiter = self.waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.running -= 1
