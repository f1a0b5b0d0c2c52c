"""Settings of leases."""

import msgspec


class LeaseSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Times of a lease, by the local clock of a process.

    Attributes:
      renew_s: Time between two renewals.
      resend_s: Time without an outcome after which a claim is resent.
      act_s: Time for which the holder may act after it sent the last accepted
        renewal.
      expire_s: Time without a renewal after which others claim the lease.
      rank_delay_s: Additional delay of a claimant for each rank before it.
    """

    renew_s: float = 4.0
    resend_s: float = 2.0
    act_s: float = 8.0
    expire_s: float = 12.0
    rank_delay_s: float = 2.0

    def __post_init__(self) -> None:
        times = (0.0, self.resend_s, self.renew_s, self.act_s, self.expire_s)
        if sorted(set(times)) != list(times) or self.rank_delay_s < 0:
            raise ValueError(
                "lease times must satisfy 0 < resend_s < renew_s < act_s < "
                "expire_s and 0 <= rank_delay_s"
            )
