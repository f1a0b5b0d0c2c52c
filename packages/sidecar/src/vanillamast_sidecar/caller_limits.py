"""Bounds on what a caller may send."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Bounds of the configuration on requests and connections of callers.

    Attributes:
      header_bytes: Largest header section.
      body_bytes: Largest body.
      header_timeout_s: Longest time to send a header, in seconds.
      idle_timeout_s: Longest time without a request, in seconds.
    """

    header_bytes: int = 16384  # As published by the reference deployments.
    body_bytes: int = 67108864  # As published by the reference deployments.
    header_timeout_s: float = 3.0  # As published.
    idle_timeout_s: float = 15.0  # As published.
