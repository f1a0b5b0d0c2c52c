"""Collection of evidence in a failure domain."""

import bisect
from collections.abc import Collection

from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.peers.effects import EvidenceReceived
from vanillamast_core.peers.evidence_batch import EvidenceBatch
from vanillamast_core.peers.instance_directory import InstanceDirectory
from vanillamast_core.peers.link_table import LinkTable
from vanillamast_core.peers.move_messages import Evidence
from vanillamast_core.peers.settings import PeerSettings


class EvidenceTree:
    """Sends merged evidence towards the judge of the failure domain.

    A cell is sent at most once: it leaves its batch when it is handed to a
    link, and a lost link loses it.

    Attributes:
      settings: Fan-in and interval.
      own: Name of this instance.
      failure_domain: Failure domain of this instance.
      directory: The directory, for the members.
      links: Links of this node.
      batch: Cells for the parent.
      drivers: Instance and moves by service shard.
      for_drivers: Cells for remote drivers, by instance.
      wanted: Instances needed for evidence, with the time of the last use.
      next_at: When the next batch is sent.
    """

    def __init__(
        self,
        settings: PeerSettings,
        own: str,
        failure_domain: str,
        directory: InstanceDirectory,
        links: LinkTable,
    ):
        self.settings = settings
        self.own = own
        self.failure_domain = failure_domain
        self.directory = directory
        self.links = links
        self.batch = EvidenceBatch(settings.evidence_cells)
        self.drivers: dict[int, tuple[str, frozenset[int]]] = {}
        self.for_drivers: dict[str, EvidenceBatch] = {}
        self.wanted: dict[str, float] = {}
        self.next_at = 0.0

    def parent(self) -> str | None:
        """Returns the parent in the tree, None at the root."""
        members = self.directory.get_members(self.failure_domain)
        index = bisect.bisect_left(members, self.own)
        if index == 0:
            return None
        return members[(index - 1) // self.settings.evidence_fan_in]

    def set_driver(
        self, shard: int, instance: str | None, moves: Collection[int]
    ) -> None:
        """Names the driver of a service shard and the moves it drives."""
        if instance is None:
            self.drivers.pop(shard, None)
        else:
            self.drivers[shard] = instance, frozenset(moves)

    def add(self, cells: tuple[EvidenceCell, ...]) -> None:
        """Takes own cells or those of a child."""
        self.batch.add(cells)

    def tick(self, now: float) -> None:
        """Sends what is due and forgets links that are no longer needed."""
        if not (self.batch.cells or self.for_drivers or self.wanted):
            return
        if now < self.next_at:
            return
        self.next_at = now + self.settings.evidence_interval_s
        self._send_up(now)
        for instance in list(self.for_drivers):
            if self._send(instance, self.for_drivers[instance], True, now):
                del self.for_drivers[instance]
        for instance, used_at in list(self.wanted.items()):
            if now - used_at >= self.settings.on_demand_link_s:
                del self.wanted[instance]
                self.for_drivers.pop(instance, None)

    def _send_up(self, now: float) -> None:
        if not self.batch.cells:
            return
        parent = self.parent()
        if parent is not None:
            self._send(parent, self.batch, False, now)
            return
        cells = self.batch.take()
        self.links.out.append(EvidenceReceived(cells))
        for instance, moves in self.drivers.values():
            chosen = [cell for cell in cells if cell.move in moves]
            if instance != self.own and chosen:
                batch = self.for_drivers.setdefault(
                    instance, EvidenceBatch(self.settings.evidence_cells)
                )
                batch.add(chosen)

    def _send(
        self, instance: str, batch: EvidenceBatch, final: bool, now: float
    ) -> bool:
        link = self.links.by_instance.get(instance)
        if link is None:
            self.wanted.setdefault(instance, now)
            return False
        self.wanted[instance] = now
        self.links.send(link, Evidence(batch.take(), final))
        return True
