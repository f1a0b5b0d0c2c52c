"""A claim of a lease that is in progress."""

import dataclasses

from vanillamast_core.journal.records import ClaimLease


@dataclasses.dataclass(slots=True)
class PendingClaim:
    """A claim whose outcome is not known yet.

    Attributes:
      record: The claim.
      first_sent_at: When it was first sent, None before.
      last_sent_at: When it was last sent or returned for sending.
    """

    record: ClaimLease
    first_sent_at: float | None
    last_sent_at: float
