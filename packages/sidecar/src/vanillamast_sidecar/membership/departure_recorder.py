"""Records departures of the local server in the store."""

import asyncio
from collections.abc import Callable

from vanillamast_sidecar.errors import StoreError
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.operator_state.store import Store

FIRST_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 4.0


class DepartureRecorder:
    """Writes the newest departure into the node's record in the store.

    The store outlives the processes: after a kill of all of them, a late
    heartbeat would else bring a server back whose departure was acknowledged.

    Attributes:
      store: The store.
      make_record: Returns the node's record with a server in it.
      log: Event logger.
      recorded: Id and incarnation of the server in the store's record.
      pending: Server whose departure is being written, None without one.
    """

    def __init__(
        self,
        store: Store,
        make_record: Callable[[InstanceRecord], NodeRecord],
        log: EventLogger,
    ):
        self.store = store
        self.make_record = make_record
        self.log = log
        self.recorded: tuple[str, int] | None = None
        self.pending: InstanceRecord | None = None
        self._task: asyncio.Task[None] | None = None

    def start(self, instance: InstanceRecord) -> None:
        """Starts to write a departure unless the store has it."""
        if self.recorded == (instance.id, instance.born_ms):
            return
        self.pending = instance
        if self._task is None or self._task.done():
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._write())

    async def wait(self, timeout_s: float) -> bool:
        """Waits until nothing is left to write; returns whether that is so.

        Args:
          timeout_s: Longest wait, in seconds.
        """
        if self._task is not None and not self._task.done():
            await asyncio.wait({self._task}, timeout=timeout_s)
        return self.pending is None

    async def _write(self) -> None:
        delay_s = FIRST_RETRY_DELAY_S
        while self.pending is not None:
            instance = self.pending
            try:
                await self.store.put_node(self.make_record(instance))
            except StoreError as error:
                # A lost answer is no problem: the same record is written again.
                self.log.write(
                    "departure.not_recorded",
                    instance=instance.id,
                    error=str(error),
                )
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
                continue
            self.recorded = (instance.id, instance.born_ms)
            # A later heartbeat may have replaced the record, not the server.
            if (self.pending.id, self.pending.born_ms) == self.recorded:
                self.pending = None
            self.log.write(
                "departure.recorded",
                instance=instance.id,
                born_ms=instance.born_ms,
            )
