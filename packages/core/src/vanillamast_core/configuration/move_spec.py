"""A move of traffic as operators configure it."""

from typing import Literal

import msgspec

DEFAULT_STEPS = (0.01, 0.05, 0.2, 0.5, 1.0)


class MoveSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shifts a service's traffic to another server version.

    Attributes:
      service: Service whose traffic is shifted.
      old: Server version that has the traffic before the move.
      new: Server version that gets the traffic.
      deadline: Wall time, in seconds since the epoch, by which the share of
        the new version should be 1.
      steps: Shares of the new version, increasing; the last one is 1.
      min_dwell_s: Shortest time between two steps.
      watch_s: Time for which the new version is observed after its share has
        reached 1.
      on_deadline: What a driver does if the evidence is inconclusive at the
        deadline: "hold" keeps the share, "finish" continues the move.
    """

    service: str
    old: str
    new: str
    deadline: float
    steps: tuple[float, ...] = DEFAULT_STEPS
    min_dwell_s: float = 5.0
    watch_s: float = 60.0
    on_deadline: Literal["hold", "finish"] = "hold"
