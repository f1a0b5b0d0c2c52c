"""Settings of the node's log."""

from typing import Annotated

import msgspec


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where log lines go and how many of them.

    Attributes:
      path: File to append to; "" writes to standard error.
      sample: Share of ordinary routing decisions that are logged, from 0 to
        1. Refusals, retries and failures are always logged.
    """

    path: str = ""
    sample: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 1.0
