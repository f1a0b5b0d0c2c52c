"""Messages about moves."""

from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.peers.message import Message, message_kinds


@message_kinds.register("evidence")
class Evidence(Message, array_like=True, frozen=True, tag=20):
    """Merged outcomes of requests; sent at most once, to one peer.

    Attributes:
      cells: The merged cells.
      final: Whether the receiver is their driver; otherwise it merges them
        and sends them on to its parent.
    """

    cells: tuple[EvidenceCell, ...]
    final: bool = False


@message_kinds.register("alarms")
class Alarms(Message, array_like=True, frozen=True, tag=21):
    """Moves whose new version must get no traffic; a set that only grows.

    Attributes:
      moves: Reason by `Move.started_at`.
    """

    moves: dict[int, str]
