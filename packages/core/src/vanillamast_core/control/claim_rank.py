"""Order in which live instances claim a lease."""

from vanillamast_core.peers import (
    InstanceDirectory,
    LivenessState,
    rendezvous_score,
)

REFRESH_S = 1.0


class ClaimRank:
    """Ranks this instance among the live ones by rendezvous hashing.

    With a wrong view of the membership, two instances may claim at once, or
    one claims a little later; the order of the log decides between them.

    Attributes:
      own: Name of this instance.
      directory: The known instances.
    """

    def __init__(self, own: str, directory: InstanceDirectory):
        self.own = own
        self.directory = directory
        self._ranks: dict[str, tuple[float, int]] = {}

    def rank(self, lease: str, now: float) -> int:
        """Returns the number of live instances that claim a lease earlier.

        Hashing 1,200 instances takes about a millisecond, so the result is
        cached for `REFRESH_S`.
        """
        known = self._ranks.get(lease)
        if known is not None and now - known[0] < REFRESH_S:
            return known[1]
        rank = self._count_earlier(lease)
        self._ranks[lease] = now, rank
        return rank

    def _count_earlier(self, lease: str) -> int:
        own_score = rendezvous_score(lease, self.own)
        return sum(
            rendezvous_score(lease, instance) > own_score
            for instance, record in self.directory.records.items()
            if record.liveness is LivenessState.ALIVE and not record.leaving
        )
