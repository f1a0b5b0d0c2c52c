"""Settings of the platform's log service."""

from typing import Annotated

import msgspec

PositiveSeconds = Annotated[float, msgspec.Meta(gt=0.0, le=600.0)]


class PlatformSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a node reaches the platform's log.

    Attributes:
      log_url: Base URL of the log service.
      poll_s: Longest wait of a long poll for a new entry.
      timeout_s: Timeout of any other call; a long poll has it in addition to
        `poll_s`.
      read_limit: Largest number of entries in one read.
      backoff_s: First wait after a failure; doubles with full jitter.
      max_backoff_s: Longest wait after a failure.
    """

    log_url: Annotated[str, msgspec.Meta(pattern=r"^http://[^/]+$")]
    poll_s: PositiveSeconds = 10.0
    timeout_s: PositiveSeconds = 3.0
    read_limit: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 500
    backoff_s: PositiveSeconds = 0.2
    max_backoff_s: PositiveSeconds = 5.0
