"""Records in the store what is certain of the local server."""

import asyncio
import contextlib
from collections.abc import Callable

from vanillamast_sidecar.errors import StoreError
from vanillamast_sidecar.membership.instance_facts import Facts
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.operator_state.store import Store

FIRST_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 4.0
# Changes of a rate limit within this time and the chosen delay are written
# together: unlike a departure, no one waits for them.
LIMIT_DELAY_S = 2.0


class FactsRecorder:
    """Writes the node's record when the store lacks facts on its server.

    The store outlives the processes: after a kill of all of them, a late
    heartbeat would else bring a server back whose departure was acknowledged.

    Attributes:
      store: The store.
      make_record: Returns the node's record as the store has to have it.
      choose_delay: Returns a delay that spreads the writes of a fleet, in
        seconds.
      log: Event logger.
      recorded: Facts in the store's record.
      pending: Facts that are being written, None without any.
    """

    def __init__(
        self,
        store: Store,
        make_record: Callable[[], NodeRecord],
        choose_delay: Callable[[], float],
        log: EventLogger,
    ):
        self.store = store
        self.make_record = make_record
        self.choose_delay = choose_delay
        self.log = log
        self.recorded: Facts = ()
        self.pending: Facts | None = None
        self._urgent = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self, facts: Facts) -> None:
        """Starts to write facts unless the store has them."""
        if self.recorded == facts:
            return
        self.pending = facts
        if _departed(facts) - _departed(self.recorded):
            self._urgent.set()
        if self._task is None or self._task.done():
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._write())

    async def wait(self, timeout_s: float) -> bool:
        """Waits until no departure is left to write.

        Args:
          timeout_s: Longest wait, in seconds.

        Returns:
          Whether the store has every departure.
        """
        if self._urgent.is_set() and self._task is not None:
            await asyncio.wait({self._task}, timeout=timeout_s)
        return not self._urgent.is_set()

    async def _write(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LIMIT_DELAY_S + self.choose_delay()):
                await self._urgent.wait()
        delay_s = FIRST_RETRY_DELAY_S
        while self.pending is not None:
            record = self.make_record()
            try:
                await self.store.put_node(record)
            except StoreError as error:
                # A lost answer is no problem: the same record is written again.
                urgent = self._urgent.is_set()
                self.log.write(
                    "departure.not_recorded"
                    if urgent
                    else "rate_limit.not_recorded",
                    **_describe(record.facts),
                    error=str(error),
                )
                await asyncio.sleep(delay_s)
                delay_s = min(MAX_RETRY_DELAY_S, 2 * delay_s)
                continue
            self.recorded = record.facts
            urgent = self._urgent.is_set()
            self.log.write(
                "departure.recorded" if urgent else "rate_limit.recorded",
                **_describe(record.facts),
            )
            if self.pending == self.recorded:
                self.pending = None
        self._urgent.clear()


def _describe(facts: Facts) -> dict[str, object]:
    """Returns the log fields of the newest departure, or of the newest fact."""
    newest = next((found for found in facts if found.leaving), facts[0])
    return {"instance": newest.id, "born_ms": newest.born_ms}


def _departed(facts: Facts) -> set[tuple[str, int]]:
    """Returns the incarnations that leave."""
    return {found.key for found in facts if found.leaving}
