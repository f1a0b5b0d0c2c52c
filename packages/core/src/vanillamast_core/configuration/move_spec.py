"""A move of traffic as operators configure it."""

from typing import Literal

import msgspec

DEFAULT_STEPS = (0.01, 0.05, 0.2, 0.5, 1.0)


class MoveSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Moves a service's traffic to another backend server version.

    Attributes:
      service: Service whose traffic moves.
      old: Backend server version that the traffic leaves.
      new: Backend server version that the traffic goes to.
      deadline: Wall time, in seconds since the epoch, by which the share of
        the new version should be 1.
      steps: Shares of the new version, rising, the last one 1.
      min_dwell_s: Shortest time between two steps.
      watch_s: Time that the new version is watched after the share is 1.
      on_deadline: What a driver does when evidence is doubtful at the
        deadline: "hold" keeps the share, "finish" goes on.
    """

    service: str
    old: str
    new: str
    deadline: float
    steps: tuple[float, ...] = DEFAULT_STEPS
    min_dwell_s: float = 5.0
    watch_s: float = 60.0
    on_deadline: Literal["hold", "finish"] = "hold"
