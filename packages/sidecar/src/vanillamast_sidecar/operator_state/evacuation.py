"""Whether the operator has evacuated a failure domain."""

import msgspec


class Evacuation(msgspec.Struct, array_like=True, frozen=True):
    """The operator's newest word on a failure domain.

    Attributes:
      failure_domain: The failure domain.
      active: Whether it is evacuated; False if the evacuation was withdrawn.
      offset: Offset of the record in the operator's stream.
      era: Era of the store in which the record has that offset.
    """

    failure_domain: str
    active: bool
    offset: int
    era: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Returns era and offset; a higher position is newer."""
        return self.era, self.offset
