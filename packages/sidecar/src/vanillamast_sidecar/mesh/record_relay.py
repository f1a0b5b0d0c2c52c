"""Batches the records that a hub passes on."""

import asyncio
from collections.abc import Callable

from vanillamast_sidecar.membership.node_record import NodeRecord

# Records that arrive within this time are passed on in one message.
RELAY_DELAY_S = 0.02


class RecordRelay:
    """Collects records and passes them on after a short delay.

    Attributes:
      send: Passes records on; the flag tells whether they come from this
        failure domain.
      pending: Newest record of each node by whether it comes from this
        failure domain, then by address.
    """

    def __init__(self, send: Callable[[list[NodeRecord], bool], None]):
        self.send = send
        self.loop = asyncio.get_running_loop()
        self.pending: dict[bool, dict[str, NodeRecord]] = {True: {}, False: {}}
        self._timer: asyncio.TimerHandle | None = None

    def add(self, records: list[NodeRecord], same_domain: bool) -> None:
        """Passes records on that were new to this node."""
        batch = self.pending[same_domain]
        for record in records:
            batch[record.address] = record
        if records and self._timer is None:
            self._timer = self.loop.call_later(RELAY_DELAY_S, self._flush)

    def _flush(self) -> None:
        self._timer = None
        for same_domain, batch in self.pending.items():
            if batch:
                records = list(batch.values())
                batch.clear()
                self.send(records, same_domain)
