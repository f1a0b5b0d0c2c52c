"""Selection of the overlay peers that a node dials."""

import bisect
from collections.abc import Container, Iterator

from vanillamast_core.announcement import Announcement
from vanillamast_core.peers.instance_record import InstanceRecord
from vanillamast_core.peers.liveness import LivenessState
from vanillamast_core.peers.rendezvous import rendezvous_score

SAME_DOMAIN_TARGETS = 2  # Ring successor and one chord.
CROSS_DOMAIN_TARGETS = 2  # Chords to other failure domains.

Ranking = list[tuple[int, str]]


class PeerSelector:
    """Selects dial targets by hash; they change only with the membership.

    Rankings are sorted lists that are updated for one instance at a time,
    so that one change does not require hashing all instances again.

    Attributes:
      own: This node's announcement at the start.
      ring: Instances of this failure domain by position on the hash ring.
      same_domain: The same instances by hash of (own, candidate).
      same_region: Instances of this region's other failure domains, by the
        same hash.
      other_region: Instances of other regions, by the same hash.
      rankings: The rankings that hold an instance.
    """

    def __init__(self, own: Announcement):
        self.own = own
        self.ring: Ranking = []
        self.same_domain: Ranking = []
        self.same_region: Ranking = []
        self.other_region: Ranking = []
        self.rankings: dict[str, tuple[Ranking, ...]] = {}
        self._position = rendezvous_score("ring", own.instance)

    def update(self, instance: str, record: InstanceRecord | None) -> None:
        """Adds or removes an instance after a change of its record."""
        eligible = (
            record is not None
            and instance != self.own.instance
            and record.liveness is not LivenessState.DEAD
            and not record.leaving
        )
        if not eligible:
            self._remove(instance)
        elif instance not in self.rankings and record is not None:
            self._add(instance, record)

    def select_targets(self, avoided: Container[str] = ()) -> list[str]:
        """Returns the instances to dial, at most four.

        Args:
          avoided: Instances that are known to be unreachable from here.
        """
        chosen: list[str] = []
        self._add_candidates(self._successors(), 1, chosen, avoided)
        self._add_candidates(
            _names(self.same_domain), SAME_DOMAIN_TARGETS - 1, chosen, avoided
        )
        self._add_candidates(_names(self.other_region), 1, chosen, avoided)
        missing = CROSS_DOMAIN_TARGETS + SAME_DOMAIN_TARGETS - len(chosen)
        self._add_candidates(_names(self.same_region), missing, chosen, avoided)
        missing = CROSS_DOMAIN_TARGETS + SAME_DOMAIN_TARGETS - len(chosen)
        self._add_candidates(
            _names(self.other_region), missing, chosen, avoided
        )
        missing = CROSS_DOMAIN_TARGETS + SAME_DOMAIN_TARGETS - len(chosen)
        self._add_candidates(_names(self.same_domain), missing, chosen, avoided)
        return chosen

    def _add(self, instance: str, record: InstanceRecord) -> None:
        if record.failure_domain == self.own.failure_domain:
            rankings: tuple[Ranking, ...] = (self.same_domain, self.ring)
        elif record.region == self.own.region:
            rankings = (self.same_region,)
        else:
            rankings = (self.other_region,)
        self.rankings[instance] = rankings
        for ranking in rankings:
            bisect.insort(ranking, self._ranking_entry(ranking, instance))

    def _remove(self, instance: str) -> None:
        for ranking in self.rankings.pop(instance, ()):
            entry = self._ranking_entry(ranking, instance)
            del ranking[bisect.bisect_left(ranking, entry)]

    def _ranking_entry(
        self, ranking: Ranking, instance: str
    ) -> tuple[int, str]:
        if ranking is self.ring:
            return rendezvous_score("ring", instance), instance
        return rendezvous_score(self.own.instance, instance), instance

    def _successors(self) -> Iterator[str]:
        start = bisect.bisect(self.ring, (self._position, self.own.instance))
        for index in range(len(self.ring)):
            yield self.ring[(start + index) % len(self.ring)][1]

    def _add_candidates(
        self,
        candidates: Iterator[str],
        count: int,
        chosen: list[str],
        avoided: Container[str],
    ) -> None:
        if count <= 0:
            return
        for name in candidates:
            if name in chosen or name in avoided:
                continue
            chosen.append(name)
            count -= 1
            if count == 0:
                return


def _names(ranking: Ranking) -> Iterator[str]:
    return (name for _, name in ranking)
