"""The claimant's side of a lease."""

import msgspec

from vanillamast_core.journal.lease import Lease
from vanillamast_core.journal.lease_settings import LeaseSettings
from vanillamast_core.journal.pending_claim import PendingClaim
from vanillamast_core.journal.records import ClaimLease

NO_HOLDER = ""  # `Lease.holder` of a released lease.


class LeaseKeeper:
    """Claims and renews one lease, and limits its use, by the local clock.

    Safety does not depend on it: the fold refuses the tokens of former holders.
    It prevents claims of leases that are in use, and work of former holders
    that would be refused.

    Attributes:
      name: Name of the lease.
      holder: Instance and start time of this process; unique for the process.
      settings: Times of the lease.
      lease: The lease as last observed.
      changed_at: When `lease` was last observed to change.
      wanted_since: Since when this process has wanted the lease continuously.
      last_wanted_at: When it last wanted the lease.
      accepted_sent_at: When the last accepted claim was sent; None if the lease
        is not this process's.
      pending: The claim whose outcome is not known yet.
    """

    def __init__(self, name: str, holder: str, settings: LeaseSettings):
        self.name = name
        self.holder = holder
        self.settings = settings
        self.lease: Lease | None = None
        self.changed_at: float | None = None
        self.wanted_since: float | None = None
        self.last_wanted_at: float | None = None
        self.accepted_sent_at: float | None = None
        self.pending: PendingClaim | None = None

    def observe(self, lease: Lease | None, now: float) -> None:
        """Updates the lease from the folded state.

        Args:
          lease: The lease of this name, None if it was never claimed.
          now: Monotonic time in seconds.
        """
        if lease is None or lease.renewed_at <= self._renewed_at:
            return
        self.accepted_sent_at = None
        if lease.holder == self.holder and self.pending:
            # Exactly one claim after the observed one was accepted. Any of its
            # sends may have been the accepted one, so the first one counts.
            self.accepted_sent_at = self.pending.first_sent_at
        self.lease = lease
        self.changed_at = now
        self.pending = None

    def decide(
        self, now: float, rank: int, holder_gone: bool = False
    ) -> ClaimLease | None:
        """Returns a claim to append now, if one is due.

        To be called while this process has work under the lease, more often
        than the lease is renewed.

        Args:
          now: Monotonic time in seconds.
          rank: Number of live instances that should claim before this one.
          holder_gone: Whether the holder released the lease or is dead
            according to the membership. The lease then need not expire first;
            if the holder is alive after all, its old token is refused.
        """
        self._record_demand(now)
        if not self._is_due(now, rank, holder_gone):
            return None
        if self.pending is None:
            self.pending = PendingClaim(self._new_claim(), None, now)
        elif now - self.pending.last_sent_at < self.settings.resend_s:
            return None
        self.pending.last_sent_at = now
        return self.pending.record

    def release(self) -> ClaimLease | None:
        """Releases the lease if this process holds it.

        Returns:
          The record to append, None if this process does not hold the
          lease. Others can then claim it before it expires.
        """
        if self.lease is None or self.lease.holder != self.holder:
            return None
        self.accepted_sent_at = None
        claim = self._new_claim()
        return msgspec.structs.replace(
            claim, id=f"{claim.id}/release", holder=NO_HOLDER
        )

    def mark_sent(self, now: float) -> None:
        """Records that the claim is sent; call it before its first byte.

        Args:
          now: Monotonic time in seconds.
        """
        if self.pending is None:
            return
        if self.pending.first_sent_at is None:
            self.pending.first_sent_at = now
        self.pending.last_sent_at = now

    def usable_token(self, now: float) -> int | None:
        """Returns the fencing token while this process may act, else None.

        Args:
          now: Monotonic time in seconds.
        """
        if self.lease is None or self.accepted_sent_at is None:
            return None
        if now - self.accepted_sent_at > self.settings.act_s:
            return None
        return self.lease.token

    @property
    def _renewed_at(self) -> int:
        return self.lease.renewed_at if self.lease else 0

    def _record_demand(self, now: float) -> None:
        """Restarts the delay by rank after a time without demand.

        An unused lease has expired for all instances. Without a delay that
        starts with the demand, all of them would claim it at once.
        """
        if self.last_wanted_at is None or (
            now - self.last_wanted_at > self.settings.renew_s
        ):
            self.wanted_since = now
        self.last_wanted_at = now

    def _is_due(self, now: float, rank: int, holder_gone: bool) -> bool:
        if self.lease and self.lease.holder == self.holder:
            sent_at = self.accepted_sent_at
            return sent_at is None or now - sent_at >= self.settings.renew_s
        free_at = self.wanted_since if self.wanted_since is not None else now
        if self.changed_at is not None and not holder_gone:
            free_at = max(free_at, self.changed_at + self.settings.expire_s)
        return now >= free_at + rank * self.settings.rank_delay_s

    def _new_claim(self) -> ClaimLease:
        return ClaimLease(
            id=f"{self.name}/{self.holder}/{self._renewed_at}",
            based_on=self._renewed_at,
            name=self.name,
            holder=self.holder,
            previous=self._renewed_at,
        )
