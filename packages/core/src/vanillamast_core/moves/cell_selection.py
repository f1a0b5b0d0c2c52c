"""Choice of the cells that fit into one evidence message."""

from collections.abc import Iterable

import msgspec

from vanillamast_core.moves.cell_merge import merge_cells
from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.moves.evidence_settings import EvidenceSettings

MAX_CREDITS = 1024  # Routes whose credit is remembered.

Group = tuple[int, str]
Batch = tuple[int, str, int]


class CellSelection:
    """Keeps a batch of cells under a bound in bytes.

    Cells of one move, route and bucket are sent or dropped together. The
    routes with the most requests since they were last sent come first, so
    that a route with little traffic is not left out for ever. Only the number
    of requests decides, never their outcome: a choice by outcome would bias
    the verdict.

    Attributes:
      settings: The bound.
      credits: Requests by move and route that were dropped since the route
        was last sent.
      dropped: Requests whose cells were dropped, in total.
    """

    def __init__(self, settings: EvidenceSettings):
        self.settings = settings
        self.credits: dict[Group, int] = {}
        self.dropped = 0
        self._encoder = msgspec.msgpack.Encoder()

    def select(self, cells: Iterable[EvidenceCell]) -> tuple[EvidenceCell, ...]:
        """Returns the cells to send; their encoded size is in bounds."""
        batches: dict[Batch, list[EvidenceCell]] = {}
        for cell in cells:
            batch = (cell.move, cell.route, cell.bucket)
            batches.setdefault(batch, []).append(cell)
        counts = {b: total_requests(batches[b]) for b in batches}
        ranked = sorted(
            batches,
            key=lambda b: self.credits.get(b[:2], 0) + counts[b],
            reverse=True,
        )
        kept: list[EvidenceCell] = []
        room = self.settings.max_drain_bytes
        for batch in ranked:
            fitting = self.fit(batches[batch], room)
            if fitting is None:
                self.drop(batch[:2], counts[batch])
                continue
            room -= sum(map(self.size, fitting))
            kept += fitting
            self.credits.pop(batch[:2], None)
        return tuple(kept)

    def fit(
        self, cells: list[EvidenceCell], room: int
    ) -> list[EvidenceCell] | None:
        """Names fewer instances until the cells fit; None if they cannot.

        Only a batch that is larger than a whole message is shrunk; another
        one waits for the next message.
        """
        size = sum(map(self.size, cells))
        if size <= room:
            return cells
        if size <= self.settings.max_drain_bytes:
            return None
        for limit in reversed(range(self.settings.max_instances)):
            fewer = msgspec.structs.replace(self.settings, max_instances=limit)
            shrunk = list(merge_cells(cells, (), fewer))
            if sum(map(self.size, shrunk)) <= room:
                return shrunk
        return None

    def drop(self, group: Group, requests: int) -> None:
        """Counts a group that does not fit."""
        self.dropped += requests
        if group in self.credits or len(self.credits) < MAX_CREDITS:
            self.credits[group] = self.credits.get(group, 0) + requests

    def size(self, cell: EvidenceCell) -> int:
        """Returns the encoded size of a cell in bytes."""
        return len(self._encoder.encode(cell))


def total_requests(cells: Iterable[EvidenceCell]) -> int:
    """Returns the requests that the cells count."""
    return sum(cell.requests for cell in cells)
