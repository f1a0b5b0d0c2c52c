"""A link to another node."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Link:
    """A link that the transport reported as up.

    Attributes:
      id: Number assigned by the transport.
      dialed_address: Address that this node dialed, None if the peer dialed.
      opened_at: When the link came up.
      last_received_at: When the last message was received.
      instance: The peer, "" before its Hello.
      offset: Highest log offset that the peer is known to have.
      digest: Digest in the peer's last heartbeat.
      digest_mismatches: Consecutive heartbeats whose digest differed from
        this node's.
      eager: Whether entries are pushed on this link (Plumtree).
      unwanted_since: Since when this node does not need the link.
    """

    id: int
    dialed_address: str | None
    opened_at: float
    last_received_at: float
    instance: str = ""
    offset: int = 0
    digest: int = 0
    digest_mismatches: int = 0
    eager: bool = True
    unwanted_since: float | None = None
