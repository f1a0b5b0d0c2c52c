"""Status of a move, as its driver announces it."""

import msgspec

from vanillamast_sidecar.rollouts.move_state import MoveState


class MoveStatus(msgspec.Struct, array_like=True, frozen=True):
    """State of a move and share of the new version.

    Attributes:
      service: Service whose traffic moves.
      move_id: Id of the move spec.
      to_version: New server version.
      state: State of the move.
      share: Fraction of the requests that the new version gets.
      elapsed_s: Time since the move spec was first seen, in seconds.
      recorded: Whether the store has recorded the state as the move's end.
      era: Era of the store that the move id belongs to.
    """

    service: str
    move_id: int
    to_version: str
    state: MoveState
    share: float
    elapsed_s: float
    recorded: bool = False
    era: int = 0

    @property
    def position(self) -> tuple[int, int]:
        """Returns era and offset of the move's record."""
        return self.era, self.move_id

    def log_fields(self) -> dict[str, object]:
        """Returns the status as fields of a log line."""
        return {
            "service": self.service,
            "order": self.move_id,
            "era": self.era,
            "to": self.to_version,
            "state": self.state,
            "share": self.share,
            "elapsed_s": self.elapsed_s,
            "recorded": self.recorded,
        }
