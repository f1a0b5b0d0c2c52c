"""Settings of the node's log."""

from typing import Annotated

import msgspec


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Destination and sampling of log lines.

    Attributes:
      path: File to append to; "" writes to standard error.
      sample: Fraction of routing decisions for first attempts that are
        logged, from 0 to 1. Refusals, retries and failures are always logged.
    """

    path: str = ""
    sample: Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 1.0
