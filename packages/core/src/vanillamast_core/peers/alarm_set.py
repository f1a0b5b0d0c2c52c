"""Alarms: moves that were rolled back."""

from vanillamast_core.peers.rendezvous import rendezvous_score


class AlarmSet:
    """A grow-only set of rolled-back moves, merged by union.

    Attributes:
      moves: Reason of the alarm by `Move.started_at`.
      digest: 64-bit digest of the keys of `moves`, independent of order.
    """

    def __init__(self) -> None:
        self.moves: dict[int, str] = {}
        self.digest = 0

    def merge(self, moves: dict[int, str]) -> dict[int, str]:
        """Adds alarms and returns those that are new."""
        new = {
            started_at: reason
            for started_at, reason in moves.items()
            if started_at not in self.moves
        }
        for started_at, reason in new.items():
            self.moves[started_at] = reason
            self.digest ^= rendezvous_score("alarm", str(started_at))
        return new
