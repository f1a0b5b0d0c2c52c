"""Collection of one node's evidence about moves."""

from vanillamast_core.moves.cell_merge import (
    CellKey,
    cell_key,
    merge_cells,
)
from vanillamast_core.moves.cell_selection import CellSelection
from vanillamast_core.moves.evidence import EvidenceCell, Side
from vanillamast_core.moves.evidence_settings import EvidenceSettings
from vanillamast_core.moves.latency_bins import latency_bin
from vanillamast_core.moves.observation import Observation


class EvidenceWindow:
    """Counts request outcomes in cells until they are drained.

    Attributes:
      settings: Limits.
      failure_domain: Failure domain of this node.
      cells: Cells that were not drained yet, by key.
      selection: Limits the encoded size of a drain.
      dropped_observations: Observations that were dropped because the window
        was full.
    """

    def __init__(self, settings: EvidenceSettings, failure_domain: str):
        self.settings = settings
        self.failure_domain = failure_domain
        self.cells: dict[CellKey, EvidenceCell] = {}
        self.selection = CellSelection(settings)
        self.dropped_observations = 0

    def record(self, observation: Observation, wall: float) -> None:
        """Counts an outcome in the bucket of its wall time."""
        cell = self.cell_for(observation, self.bucket_at(wall))
        if cell is None:
            self.dropped_observations += 1
            return
        cell.requests += 1
        if not observation.connected:
            cell.connect_failures += 1
        elif observation.failed:
            cell.failures += 1
        elif not observation.cold:
            index = latency_bin(observation.latency_s)
            cell.latency[index] = cell.latency.get(index, 0) + 1

    def drain(self, wall: float) -> tuple[EvidenceCell, ...]:
        """Removes and returns the cells of past buckets.

        The encoded cells take at most `max_drain_bytes`; cells that do not fit
        are dropped by whole routes.
        """
        current = self.bucket_at(wall)
        closed = [c for c in self.cells.values() if c.bucket < current]
        for cell in closed:
            del self.cells[cell_key(cell)]
        return self.selection.select(merge_cells(closed, (), self.settings))

    def bucket_at(self, wall: float) -> int:
        """Returns the bucket that contains a wall time."""
        return int(wall // self.settings.bucket_s)

    def cell_for(
        self, observation: Observation, bucket: int
    ) -> EvidenceCell | None:
        """Returns the observation's cell, None if the window is full."""
        new = observation.side is Side.NEW
        cell = EvidenceCell(
            move=observation.move,
            route=observation.route,
            failure_domain=self.failure_domain,
            bucket=bucket,
            side=observation.side,
            instance=observation.instance if new else "",
            server_domain=observation.server_domain if new else "",
        )
        key = cell_key(cell)
        if key not in self.cells:
            if len(self.cells) >= self.settings.max_cells:
                return None
            self.cells[key] = cell
        return self.cells[key]
