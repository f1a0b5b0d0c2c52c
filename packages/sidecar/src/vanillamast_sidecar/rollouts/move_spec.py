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
        replaces a lower one of the same era.
      era: Era of the store that the move id belongs to. After a return of the
        store from an older copy, the id may be given to another record.
    """

    service: str
    to_version: str
    over_s: float
    move_id: int
    era: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Returns era and offset, which identify the record and order it."""
        return self.era, self.move_id

    def asks_the_same_as(self, other: "MoveSpec") -> bool:
        """Returns whether both have one content, as far as it is known."""
        if self.to_version != other.to_version:
            return False
        return self.over_s == other.over_s or 0.0 in (self.over_s, other.over_s)
