"""Fault switches of the platform log's stand-in."""

from typing import Annotated

import msgspec

NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]


class PlatformLogFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the log; the body of `POST /v1/faults`.

    Attributes:
      outage: Every call is answered with 503.
      delay_s: Delay added to every call.
      lose_next: Number of next appends whose answer is lost after the
        append took effect.
      lose_share: Share of appends whose answer is lost.
      cut: Listening addresses ("ip:port") whose connections are closed
        without an answer. With one address for each failure domain this
        models a failure domain that cannot reach the platform.
    """

    outage: bool = False
    delay_s: NonNegative = 0.0
    lose_next: Annotated[int, msgspec.Meta(ge=0)] = 0
    lose_share: Share = 0.0
    cut: list[str] = []
