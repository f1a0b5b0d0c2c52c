"""The order in which live instances claim a lease."""

from vanillamast_core.peers import (
    InstanceDirectory,
    LivenessState,
    rendezvous_score,
)

REFRESH_S = 1.0


class ClaimRank:
    """Ranks this instance among the live ones, by rendezvous hashing.

    A wrong view of the members makes two instances claim at once, or one a
    little later; the fold decides between them.

    Attributes:
      own: Name of this instance.
      directory: All known instances.
    """

    def __init__(self, own: str, directory: InstanceDirectory):
        self.own = own
        self.directory = directory
        self._ranks: dict[str, tuple[float, int]] = {}

    def rank(self, lease: str, now: float) -> int:
        """Returns the number of live instances that claim a lease earlier.

        Hashing all instances takes about a millisecond at 1,200, so the
        result is kept for `REFRESH_S`.
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
