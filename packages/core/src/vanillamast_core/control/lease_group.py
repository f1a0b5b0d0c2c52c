"""Leases that a node may claim."""

from collections.abc import Mapping

from vanillamast_core.journal import (
    ClaimLease,
    Lease,
    LeaseKeeper,
    LeaseSettings,
)


class LeaseGroup:
    """Manages the keepers of all leases that a process may hold.

    Attributes:
      holder: Name of this process as a lease holder.
      settings: Periods and timeouts of leases.
      keepers: Keepers by name of the lease.
    """

    def __init__(self, holder: str, settings: LeaseSettings):
        self.holder = holder
        self.settings = settings
        self.keepers: dict[str, LeaseKeeper] = {}

    def observe(self, leases: Mapping[str, Lease], now: float) -> None:
        """Updates the keepers with the leases in the log's state."""
        for name, lease in leases.items():
            self.keeper(name).observe(lease, now)

    def claim(
        self, name: str, now: float, rank: int, holder_gone: bool
    ) -> ClaimLease | None:
        """Returns a claim to append now, if one is due.

        Args:
          name: Name of the lease.
          now: Monotonic time in seconds.
          rank: Number of live instances that should claim before this one.
          holder_gone: Whether the holder released the lease or has failed.
        """
        keeper = self.keeper(name)
        claim = keeper.decide(now, rank, holder_gone)
        if claim is not None:
            # This is before the first byte is sent, which shortens the time
            # for which the lease is used.
            keeper.mark_sent(now)
        return claim

    def release_all(self) -> list[ClaimLease]:
        """Returns the records that give up all leases of this process."""
        released = [keeper.release() for keeper in self.keepers.values()]
        return [claim for claim in released if claim is not None]

    def fencing_token(self, name: str, now: float) -> int | None:
        """Returns the fencing token while this process may act, else None."""
        return self.keeper(name).usable_token(now)

    def keeper(self, name: str) -> LeaseKeeper:
        """Returns the keeper of a lease."""
        keeper = self.keepers.get(name)
        if keeper is None:
            keeper = LeaseKeeper(name, self.holder, self.settings)
            self.keepers[name] = keeper
        return keeper
