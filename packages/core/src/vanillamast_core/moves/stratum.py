"""Outcomes of both versions under the same conditions."""

import dataclasses

from vanillamast_core.moves.cell_merge import OTHERS, add_cell, copy_cell
from vanillamast_core.moves.evidence import EvidenceCell, Side

StratumKey = tuple[int, str, str]


@dataclasses.dataclass(slots=True)
class Stratum:
    """Outcomes of one bucket, caller failure domain and route.

    Attributes:
      bucket: The bucket.
      failure_domain: Failure domain of the callers' nodes.
      route: The route.
      old: Counts of the old version, None if there are none.
      new: Counts of the new version by instance.
      slow_bin: First latency bin that is slow, None if that is not known.
      after_done: Whether the stratum is compared with the baseline because
        all traffic goes to the new version.
    """

    bucket: int
    failure_domain: str
    route: str
    old: EvidenceCell | None = None
    new: dict[str, EvidenceCell] = dataclasses.field(default_factory=dict)
    slow_bin: int | None = None
    after_done: bool = False

    def add(self, cell: EvidenceCell, instance: str, domain: str) -> None:
        """Adds a cell under the judge's instance and domain names."""
        if cell.side is Side.OLD:
            if self.old is None:
                self.old = copy_cell(cell)
            else:
                add_cell(self.old, cell)
            return
        if instance in self.new:
            add_cell(self.new[instance], cell)
            return
        copied = copy_cell(cell)
        copied.instance = instance
        copied.server_domain = OTHERS if instance == OTHERS else domain
        self.new[instance] = copied

    @property
    def has_both_versions(self) -> bool:
        """Whether the stratum holds outcomes of both versions."""
        return self.old is not None and bool(self.new)

    def new_requests(self) -> int:
        """Returns the number of requests to the new version."""
        return sum(cell.requests for cell in self.new.values())
