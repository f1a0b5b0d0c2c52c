"""One link to another node."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Link:
    """A link that the transport reported as up.

    Attributes:
      id: Number given by the transport.
      dialed_address: Address that this node dialed, None if the peer dialed.
      opened_at: When the link came up.
      last_received_at: When the last message arrived.
      instance: The peer, "" before its Hello.
      offset: Highest offset that the peer is known to have.
      digest: Digest in the peer's last heartbeat.
      digest_mismatches: Consecutive heartbeats with a different digest.
      eager: Whether entries are pushed on this link.
      unwanted_since: When this node stopped needing the link.
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
