"""The set of moves that were taken back."""

from vanillamast_core.peers.rendezvous import rendezvous_score


class AlarmSet:
    """Reason by `Move.started_at`; marks are never removed.

    Attributes:
      moves: The marks.
      digest: 64-bit digest of the marked moves.
    """

    def __init__(self) -> None:
        self.moves: dict[int, str] = {}
        self.digest = 0

    def merge(self, moves: dict[int, str]) -> dict[int, str]:
        """Adds marks and returns those that are new."""
        new = {
            started_at: reason
            for started_at, reason in moves.items()
            if started_at not in self.moves
        }
        for started_at, reason in new.items():
            self.moves[started_at] = reason
            self.digest ^= rendezvous_score("alarm", str(started_at))
        return new
