"""Requests of organisations, as nodes and hubs report them."""

import msgspec


class UsageCounts(msgspec.Struct, array_like=True, frozen=True):
    """Cumulative counts of organisations with a usage cap.

    Attributes:
      complete: Whether organisations that are not named have counts of zero;
        else their counts have not changed.
      entries: Id of the organisation, requests asked for and admitted since
        the sender started. Admitted requests that did not run are subtracted.
    """

    complete: bool
    entries: list[tuple[int, int, int]]
