"""Limits on what a caller may send."""

import dataclasses

# Most header and trailer fields of a request: twice what the shortest lines
# need to fill 16,384 bytes.
MAX_FIELDS = 8_192


@dataclasses.dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    The defaults are the limits that the reference deployments publish.

    Attributes:
      header_bytes: Largest header section.
      body_bytes: Largest body.
      header_timeout_s: Longest time to send a header section, in seconds.
      idle_timeout_s: Longest time without a request, or without a byte of a
        body or of an answer being sent, in seconds.
      fields: Most header and trailer fields of a request.
    """

    header_bytes: int = 16384
    body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    fields: int = MAX_FIELDS
