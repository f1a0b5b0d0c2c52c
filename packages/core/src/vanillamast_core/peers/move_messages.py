"""Messages about moves."""

from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.peers.message import Message, message_kinds


@message_kinds.register("evidence")
class Evidence(Message, array_like=True, frozen=True, tag=20):
    """Merged results of requests; sent at most once, to one peer.

    Attributes:
      cells: The merged cells.
      final: Whether the receiver drives the moves; otherwise it merges the
        cells and sends them to its parent.
    """

    cells: tuple[EvidenceCell, ...]
    final: bool = False


@message_kinds.register("alarms")
class Alarms(Message, array_like=True, frozen=True, tag=21):
    """Rolled-back moves, a grow-only set; their new versions get no requests.

    Attributes:
      moves: Reason by `Move.started_at`.
    """

    moves: dict[int, str]
