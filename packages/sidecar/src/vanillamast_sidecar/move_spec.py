"""An operator's order to move a service's traffic to a version."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class MoveSpec:
    """A move of traffic.

    Attributes:
      service: Service whose traffic moves.
      to_version: Version that it moves to.
      over_s: Time until which the move must be done, in seconds.
      move_id: Position of the order in the operator's stream; a later order
        replaces an earlier one.
    """

    service: str
    to_version: str
    over_s: float
    move_id: int
