"""A lease in the folded state."""

import msgspec


class Lease(msgspec.Struct, array_like=True, frozen=True):
    """A lease that was claimed through the log.

    Attributes:
      name: Name of the lease.
      holder: Instance and start time of its process.
      token: Offset of the holder's first claim, the fencing token.
      renewed_at: Offset of the last accepted claim.
    """

    name: str
    holder: str
    token: int
    renewed_at: int
