"""How much of a service's traffic the new version gets now."""

import msgspec

from vanillamast_sidecar.move_state import MoveState


class MoveStatus(msgspec.Struct, array_like=True, frozen=True):
    """State of a move, as its driver announces it.

    Attributes:
      service: Service whose traffic moves.
      move_id: Order that the plan carries out.
      to_version: Version that the traffic moves to.
      state: How far the move is.
      share: Share of the requests that the new version gets.
      elapsed_s: Time since the order was seen, in seconds.
      recorded: Whether the store has the state as the move's end.
    """

    service: str
    move_id: int
    to_version: str
    state: MoveState
    share: float
    elapsed_s: float
    recorded: bool = False

    def log_fields(self) -> dict[str, object]:
        """Returns the plan as fields of a log line."""
        return {
            "service": self.service,
            "order": self.move_id,
            "to": self.to_version,
            "state": self.state,
            "share": self.share,
            "elapsed_s": self.elapsed_s,
            "recorded": self.recorded,
        }
