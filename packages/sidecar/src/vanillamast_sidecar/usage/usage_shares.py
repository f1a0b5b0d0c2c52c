"""Shares of requests to admit, as a hub reports them."""

import msgspec

# Shares travel as integers of at most three bytes.
SHARE_UNITS = 50_000


class UsageShares(msgspec.Struct, array_like=True, frozen=True):
    """Shares of the organisations that ask for more than their cap.

    Attributes:
      settled: Whether the hub has heard its nodes for long enough to judge.
      shares: Id of the organisation, and share of its requests to admit, in
        units of 1 / `SHARE_UNITS`. Organisations not named are not limited.
    """

    settled: bool
    shares: list[tuple[int, int]]
