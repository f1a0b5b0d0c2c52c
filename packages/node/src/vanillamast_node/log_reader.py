"""The task that reads the platform's log for a failure domain."""

import asyncio
import random
from collections.abc import Callable

import eliot
from vanillamast_core.control import EntriesRead

from vanillamast_node.backoff import Backoff
from vanillamast_node.platform_client import PlatformClient
from vanillamast_node.platform_errors import PlatformError

# Time between two checks whether this node has become a reader.
INACTIVE_POLL_S = 0.2


class LogReader:
    """Long-polls the log while this node is a reader.

    Attributes:
      client: Client of the log.
      on_entries: Called with the entries of each read.
      last_read_offset: Returns the offset after which to read.
      active: Whether this node is a reader.
      failures: Consecutive failed reads.
    """

    def __init__(
        self,
        client: PlatformClient,
        on_entries: Callable[[EntriesRead], None],
        last_read_offset: Callable[[], int],
        rng: random.Random,
    ):
        self.client = client
        self.on_entries = on_entries
        self.last_read_offset = last_read_offset
        self.active = False
        self.backoff = Backoff(client.settings, rng)

    @property
    def failures(self) -> int:
        """Consecutive failed reads."""
        return self.backoff.failures

    async def run(self) -> None:
        """Reads until it is cancelled."""
        while True:
            if not self.active:
                await asyncio.sleep(INACTIVE_POLL_S)
                continue
            await self._read_once()

    async def _read_once(self) -> None:
        try:
            result = await self.client.read(self.last_read_offset(), wait=True)
        except PlatformError as error:
            if self.backoff.failures == 0:
                eliot.log_message(
                    message_type="platform.read_failed", reason=str(error)
                )
            await asyncio.sleep(self.backoff.next_wait_s())
            return
        self.backoff.reset()
        last_offset = (
            result.entries[-1].offset
            if result.entries
            else result.next_offset - 1
        )
        more = last_offset + 1 < result.next_offset
        self.on_entries(
            EntriesRead(result.first_offset, tuple(result.entries), more)
        )
        # Lets the core task apply the entries before the next read asks for
        # the offset.
        await asyncio.sleep(0)
