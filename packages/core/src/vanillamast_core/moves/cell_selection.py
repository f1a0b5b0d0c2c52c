"""Selection of the cells that fit into one evidence message."""

from collections.abc import Iterable

import msgspec

from vanillamast_core.moves.cell_merge import merge_cells
from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.moves.evidence_settings import EvidenceSettings

MAX_UNSENT_ROUTES = 1024  # Routes whose dropped requests are counted.

RouteKey = tuple[int, str]
BatchKey = tuple[int, str, int]


class CellSelection:
    """Limits the encoded size of the cells that are sent at once.

    Cells of one move, route and bucket are sent or dropped together. The
    routes with the most requests since they were last sent have priority, so
    that a route with little traffic is not starved. Only the number of
    requests decides, never their outcome: a choice by outcome would bias the
    verdict.

    Attributes:
      settings: Holds the limit.
      unsent_requests: Requests by move and route that were dropped since the
        route was last sent.
      dropped_requests: Total number of requests whose cells were dropped.
    """

    def __init__(self, settings: EvidenceSettings):
        self.settings = settings
        self.unsent_requests: dict[RouteKey, int] = {}
        self.dropped_requests = 0
        self._encoder = msgspec.msgpack.Encoder()

    def select(self, cells: Iterable[EvidenceCell]) -> tuple[EvidenceCell, ...]:
        """Returns the cells to send; their encoded size is within the limit."""
        cells_by_batch: dict[BatchKey, list[EvidenceCell]] = {}
        for cell in cells:
            batch = (cell.move, cell.route, cell.bucket)
            cells_by_batch.setdefault(batch, []).append(cell)
        counts = {b: count_requests(cells_by_batch[b]) for b in cells_by_batch}
        ranked = sorted(
            cells_by_batch,
            key=lambda b: self.unsent_requests.get(b[:2], 0) + counts[b],
            reverse=True,
        )
        kept: list[EvidenceCell] = []
        room = self.settings.max_drain_bytes
        for batch in ranked:
            fitting = self.shrink_to_fit(cells_by_batch[batch], room)
            if fitting is None:
                self.record_dropped(batch[:2], counts[batch])
                continue
            room -= sum(map(self.encoded_size, fitting))
            kept += fitting
            self.unsent_requests.pop(batch[:2], None)
        return tuple(kept)

    def shrink_to_fit(
        self, cells: list[EvidenceCell], room: int
    ) -> list[EvidenceCell] | None:
        """Pools instances until the cells fit; returns None if they cannot.

        Only a batch that exceeds a whole message is shrunk. A smaller one that
        does not fit is dropped, and its route gains priority.
        """
        size = sum(map(self.encoded_size, cells))
        if size <= room:
            return cells
        if size <= self.settings.max_drain_bytes:
            return None
        for limit in reversed(range(self.settings.max_instances)):
            fewer = msgspec.structs.replace(self.settings, max_instances=limit)
            shrunk = list(merge_cells(cells, (), fewer))
            if sum(map(self.encoded_size, shrunk)) <= room:
                return shrunk
        return None

    def record_dropped(self, group: RouteKey, requests: int) -> None:
        """Counts the requests of a batch that does not fit."""
        self.dropped_requests += requests
        if (
            group in self.unsent_requests
            or len(self.unsent_requests) < MAX_UNSENT_ROUTES
        ):
            self.unsent_requests[group] = (
                self.unsent_requests.get(group, 0) + requests
            )

    def encoded_size(self, cell: EvidenceCell) -> int:
        """Returns the encoded size of a cell in bytes."""
        return len(self._encoder.encode(cell))


def count_requests(cells: Iterable[EvidenceCell]) -> int:
    """Returns the requests that the cells count."""
    return sum(cell.requests for cell in cells)
