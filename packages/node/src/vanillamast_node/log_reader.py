"""The task that reads the platform's log for a failure domain."""

import asyncio
import random
from collections.abc import Callable

import eliot
from vanillamast_core.control import EntriesRead

from vanillamast_node.backoff import Backoff
from vanillamast_node.platform_client import PlatformClient
from vanillamast_node.platform_errors import PlatformError

# Time between two looks whether this node has become a reader.
IDLE_S = 0.2


class LogReader:
    """Long-polls the log while this node is a reader.

    Attributes:
      client: Client of the log.
      report: Called with each answer.
      read_after: Called for the offset after which to read.
      active: Whether this node reads at all.
      failures: Reads that failed in a row.
    """

    def __init__(
        self,
        client: PlatformClient,
        report: Callable[[EntriesRead], None],
        read_after: Callable[[], int],
        rng: random.Random,
    ):
        self.client = client
        self.report = report
        self.read_after = read_after
        self.active = False
        self.backoff = Backoff(client.settings, rng)

    @property
    def failures(self) -> int:
        """Reads that failed in a row."""
        return self.backoff.failures

    async def run(self) -> None:
        """Reads until it is cancelled."""
        while True:
            if not self.active:
                await asyncio.sleep(IDLE_S)
                continue
            await self._read_once()

    async def _read_once(self) -> None:
        try:
            answer = await self.client.read(self.read_after(), wait=True)
        except PlatformError as error:
            if self.backoff.failures == 0:
                eliot.log_message(
                    message_type="platform.read_failed", reason=str(error)
                )
            await asyncio.sleep(self.backoff.next_wait_s())
            return
        self.backoff.reset()
        last = answer.entries[-1].offset if answer.entries else answer.next - 1
        more = last + 1 < answer.next
        self.report(EntriesRead(answer.first, tuple(answer.entries), more))
        # Lets the core task fold the entries before the next read names the
        # offset.
        await asyncio.sleep(0)
