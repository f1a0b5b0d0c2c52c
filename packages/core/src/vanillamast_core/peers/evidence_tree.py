"""Aggregation of evidence in a failure domain."""

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
    """Sends merged evidence up an aggregation tree.

    The members of the failure domain form the tree; the judge is at its
    root. A cell is sent at most once: it leaves its batch when it is sent on
    a link, and is lost with the link.

    Attributes:
      settings: Fan-in and interval.
      own_instance: Name of this instance.
      failure_domain: Failure domain of this instance.
      directory: Instance directory, for the members.
      links: Links of this node.
      parent_batch: Cells for the parent.
      drivers: Driver's instance and its moves by service shard.
      driver_batches: Cells for remote drivers, by instance.
      wanted_links: Instances to which evidence needs a link, with the time
        of the last use.
      next_send_at: When the next batch is sent.
    """

    def __init__(
        self,
        settings: PeerSettings,
        own_instance: str,
        failure_domain: str,
        directory: InstanceDirectory,
        links: LinkTable,
    ):
        self.settings = settings
        self.own_instance = own_instance
        self.failure_domain = failure_domain
        self.directory = directory
        self.links = links
        self.parent_batch = EvidenceBatch(settings.evidence_cells)
        self.drivers: dict[int, tuple[str, frozenset[int]]] = {}
        self.driver_batches: dict[str, EvidenceBatch] = {}
        self.wanted_links: dict[str, float] = {}
        self.next_send_at = 0.0

    def find_parent(self) -> str | None:
        """Returns this node's parent in the tree, None at the root."""
        members = self.directory.get_members(self.failure_domain)
        index = bisect.bisect_left(members, self.own_instance)
        if index == 0:
            return None
        return members[(index - 1) // self.settings.evidence_fan_in]

    def set_driver(
        self, shard: int, instance: str | None, moves: Collection[int]
    ) -> None:
        """Sets the driver of a service shard and the moves it drives."""
        if instance is None:
            self.drivers.pop(shard, None)
        else:
            self.drivers[shard] = instance, frozenset(moves)

    def add_cells(self, cells: tuple[EvidenceCell, ...]) -> None:
        """Adds cells of this node or of a child."""
        self.parent_batch.add_cells(cells)

    def tick(self, now: float) -> None:
        """Sends batches that are due and drops links no longer needed."""
        if not (
            self.parent_batch.cells or self.driver_batches or self.wanted_links
        ):
            return
        if now < self.next_send_at:
            return
        self.next_send_at = now + self.settings.evidence_interval_s
        self._send_to_parent(now)
        for instance in list(self.driver_batches):
            if self._send_batch(
                instance, self.driver_batches[instance], True, now
            ):
                del self.driver_batches[instance]
        for instance, used_at in list(self.wanted_links.items()):
            if now - used_at >= self.settings.on_demand_link_s:
                del self.wanted_links[instance]
                self.driver_batches.pop(instance, None)

    def _send_to_parent(self, now: float) -> None:
        if not self.parent_batch.cells:
            return
        parent = self.find_parent()
        if parent is not None:
            self._send_batch(parent, self.parent_batch, False, now)
            return
        cells = self.parent_batch.take_all()
        self.links.effects.append(EvidenceReceived(cells))
        for instance, moves in self.drivers.values():
            chosen = [cell for cell in cells if cell.move in moves]
            if instance != self.own_instance and chosen:
                batch = self.driver_batches.setdefault(
                    instance, EvidenceBatch(self.settings.evidence_cells)
                )
                batch.add_cells(chosen)

    def _send_batch(
        self, instance: str, batch: EvidenceBatch, final: bool, now: float
    ) -> bool:
        link = self.links.by_instance.get(instance)
        if link is None:
            self.wanted_links.setdefault(instance, now)
            return False
        self.wanted_links[instance] = now
        self.links.send(link, Evidence(batch.take_all(), final))
        return True
