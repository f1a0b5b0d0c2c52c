"""Specification of a move of traffic, as the operator requested it."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class MoveSpec:
    """What the operator asked for.

    Attributes:
      service: Service whose traffic moves.
      to_version: New server version.
      over_s: Time limit of the move, in seconds; 0 if only its status is known.
      move_id: Offset of the record in the operator's stream; a higher id
        replaces a lower one.
    """

    service: str
    to_version: str
    over_s: float
    move_id: int
