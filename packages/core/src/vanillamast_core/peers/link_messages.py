"""Messages about links and log entries."""

from vanillamast_core.journal import LogEntry
from vanillamast_core.peers.message import Message, message_kinds


@message_kinds.register("hello")
class Hello(Message, array_like=True, frozen=True, tag=1):
    """First message on a link, from both sides.

    Attributes:
      announcement: The sender's packed announcement.
      offset: The sender's offset.
      digest: Digest of the sender's instance directory and alarms.
    """

    announcement: bytes
    offset: int
    digest: int


@message_kinds.register("heartbeat")
class Heartbeat(Message, array_like=True, frozen=True, tag=2):
    """Periodic message that shows that its sender runs.

    Attributes:
      offset: The sender's offset.
      digest: Digest of the sender's instance directory and alarms.
      lag: Delay of the sender's last tick in ms.
    """

    offset: int
    digest: int
    lag: int = 0


@message_kinds.register("entries")
class Entries(Message, array_like=True, frozen=True, tag=3):
    """Entries of the log, in ascending order of their offsets."""

    entries: tuple[LogEntry, ...]


@message_kinds.register("prune")
class Prune(Message, array_like=True, frozen=True, tag=4):
    """Asks the receiver to stop pushing entries on this link."""


@message_kinds.register("graft")
class Graft(Message, array_like=True, frozen=True, tag=5):
    """Requests the entries after an offset and makes the link eager."""

    after: int


@message_kinds.register("state_request")
class StateRequest(Message, array_like=True, frozen=True, tag=6):
    """Requests the entries after an offset once, or a snapshot."""

    after: int


@message_kinds.register("state_chunk")
class StateChunk(Message, array_like=True, frozen=True, tag=7):
    """One part of a snapshot of the state.

    Attributes:
      offset: Offset of the state.
      index: Position of the part, from 0.
      count: Number of parts.
      data: The part.
    """

    offset: int
    index: int
    count: int
    data: bytes


@message_kinds.register("busy")
class Busy(Message, array_like=True, frozen=True, tag=8):
    """The sender cannot serve a snapshot or accept a link at present.

    Attributes:
      retry_after_s: Delay after which to try again.
      peers: Addresses of other nodes to try instead.
    """

    retry_after_s: float
    peers: tuple[str, ...] = ()
