"""A claim of a lease that is under way."""

import dataclasses

from vanillamast_core.journal.records import ClaimLease


@dataclasses.dataclass(slots=True)
class PendingClaim:
    """A claim whose outcome is not known yet.

    Attributes:
      record: The claim.
      first_sent_at: When it was sent first, None before.
      last_sent_at: When it was sent or handed out last.
    """

    record: ClaimLease
    first_sent_at: float | None
    last_sent_at: float
