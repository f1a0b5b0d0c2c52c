"""Evidence cells that wait to be sent."""

from collections.abc import Iterable

import msgspec

from vanillamast_core.moves.evidence import EvidenceCell, Side

CellKey = tuple[int, str, str, int, Side, str, str]


class EvidenceBatch:
    """Cells merged by their key, bounded in number.

    Attributes:
      limit: Largest number of cells; the oldest are dropped.
      cells: Merged cells by key, in order of arrival.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.cells: dict[CellKey, EvidenceCell] = {}

    def add_cells(self, cells: Iterable[EvidenceCell]) -> None:
        """Adds cells; the counts of cells with equal keys are summed."""
        for cell in cells:
            key = _cell_key(cell)
            existing = self.cells.get(key)
            if existing is None:
                self.cells[key] = cell
            else:
                self.cells[key] = _merge_cells(existing, cell)
        while len(self.cells) > self.limit:
            del self.cells[next(iter(self.cells))]

    def take_all(self) -> tuple[EvidenceCell, ...]:
        """Returns all cells and empties the batch."""
        cells = tuple(self.cells.values())
        self.cells.clear()
        return cells


def _cell_key(cell: EvidenceCell) -> CellKey:
    return (
        cell.move,
        cell.route,
        cell.failure_domain,
        cell.bucket,
        cell.side,
        cell.instance,
        cell.server_domain,
    )


def _merge_cells(first: EvidenceCell, second: EvidenceCell) -> EvidenceCell:
    latency = dict(first.latency)
    for latency_bin, count in second.latency.items():
        latency[latency_bin] = latency.get(latency_bin, 0) + count
    return msgspec.structs.replace(
        first,
        requests=first.requests + second.requests,
        failures=first.failures + second.failures,
        connect_failures=first.connect_failures + second.connect_failures,
        latency=latency,
    )
