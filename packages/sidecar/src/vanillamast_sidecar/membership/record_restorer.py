"""Writes a node's record again after a return of the store."""

import asyncio
from collections.abc import Awaitable, Callable

from vanillamast_sidecar.errors import StoreError
from vanillamast_sidecar.observability.event_logger import EventLogger


class RecordRestorer:
    """Writes the node's record again when the store lost what it had.

    A store that returns from an older copy may lack the record or have one
    without the last facts. The record is written whether or not the copy
    has it: finding that out costs the store more than the write.

    Attributes:
      write: Writes the node's record.
      choose_delay: Returns the time to wait before a write, in seconds.
      log: Event logger.
      requested: Set while the record has to be written.
    """

    def __init__(
        self,
        write: Callable[[], Awaitable[None]],
        choose_delay: Callable[[], float],
        log: EventLogger,
    ):
        self.write = write
        self.choose_delay = choose_delay
        self.log = log
        self.requested = asyncio.Event()

    async def run(self) -> None:
        """Writes the record after each request until it is cancelled."""
        while True:
            await self.requested.wait()
            await asyncio.sleep(self.choose_delay())
            # Another return of the store during the write requests it again.
            self.requested.clear()
            try:
                await self.write()
            except StoreError as error:
                self.requested.set()
                self.log.write("nodes.not_restored", error=str(error))
                continue
            self.log.write("nodes.restored")
