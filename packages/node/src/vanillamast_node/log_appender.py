"""Background tasks that append records to the platform's log."""

import asyncio
import random
from collections.abc import Callable

import eliot
from vanillamast_core.control import Append
from vanillamast_core.journal import Record, record_codec

from vanillamast_node.backoff import Backoff
from vanillamast_node.platform_client import PlatformClient
from vanillamast_node.platform_errors import PlatformError

MAX_CONCURRENT_APPENDS = 8


class LogAppender:
    """Appends records and retries with the same id until one is answered.

    Attributes:
      client: Client of the log.
      has_outcome: Returns whether the outcome of a record id is known, which
        ends the retries.
    """

    def __init__(
        self,
        client: PlatformClient,
        has_outcome: Callable[[str], bool],
        rng: random.Random,
    ):
        self.client = client
        self.has_outcome = has_outcome
        self.rng = rng
        self._semaphore = asyncio.Semaphore(MAX_CONCURRENT_APPENDS)
        self._tasks: set[asyncio.Task[None]] = set()

    def start_append(self, append: Append) -> None:
        """Starts appending a record in the background."""
        task = asyncio.create_task(self._append(append))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancels all appends in progress."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _append(self, append: Append) -> None:
        try:
            async with asyncio.timeout(append.timeout_s), self._semaphore:
                await self._append_until_answered(append.record)
        except TimeoutError:
            eliot.log_message(
                message_type="platform.append_given_up",
                record=append.record.id,
                kind=type(append.record).__name__,
            )

    async def _append_until_answered(self, record: Record) -> None:
        backoff = Backoff(self.client.settings, self.rng)
        data = record_codec.encode(record)
        while not self.has_outcome(record.id):
            try:
                await self.client.append(data)
            except PlatformError:
                await asyncio.sleep(backoff.next_wait_s())
                continue
            return
