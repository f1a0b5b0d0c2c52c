"""Selection of the instances that read the platform's log."""

import bisect

from vanillamast_core.announcement import Announcement
from vanillamast_core.peers.instance_record import InstanceRecord
from vanillamast_core.peers.liveness import LivenessState
from vanillamast_core.peers.rendezvous import rendezvous_score


class LogReaderSelector:
    """Selects log readers in this failure domain by rendezvous hashing.

    The readers are the instances with the highest score that are neither
    dead nor leaving.

    Attributes:
      own: This node's announcement at the start.
      reader_count: Number of readers in the failure domain.
      ranking: (negative score, instance) of all candidates, sorted.
    """

    def __init__(self, own: Announcement, reader_count: int):
        self.own = own
        self.reader_count = reader_count
        self.ranking: list[tuple[int, str]] = []

    def update(self, instance: str, record: InstanceRecord | None) -> None:
        """Adds or removes an instance after a change of its record."""
        if (
            record is not None
            and record.failure_domain != self.own.failure_domain
        ):
            return
        eligible = (
            record is not None
            and record.liveness is not LivenessState.DEAD
            and not record.leaving
        )
        entry = self._ranking_entry(instance)
        index = bisect.bisect_left(self.ranking, entry)
        present = self.ranking[index : index + 1] == [entry]
        if eligible and not present:
            self.ranking.insert(index, entry)
        elif present and not eligible:
            del self.ranking[index]

    def get_selected(self) -> list[str]:
        """Returns the instances that should read the log."""
        return [name for _, name in self.ranking[: self.reader_count]]

    def _ranking_entry(self, instance: str) -> tuple[int, str]:
        domain = self.own.failure_domain
        return -rendezvous_score(domain, instance), instance
