"""Transfer of a snapshot to one peer."""

import dataclasses

from vanillamast_core.peers.link_messages import StateChunk


@dataclasses.dataclass(slots=True)
class SnapshotTransfer:
    """A transfer on one link.

    Attributes:
      offset: Offset of the state.
      chunks: All chunks; transfers of one state share them.
      started_at: When the transfer started.
      sent_count: Number of chunks sent.
    """

    offset: int
    chunks: tuple[StateChunk, ...]
    started_at: float
    sent_count: int = 0
