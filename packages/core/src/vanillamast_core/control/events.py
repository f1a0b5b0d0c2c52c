"""Events that `NodeCore` handles."""

import dataclasses

from vanillamast_core.control.server_report import ServerReport
from vanillamast_core.journal import LogEntry, Record
from vanillamast_core.peers import Message
from vanillamast_core.requests import AttemptResult


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """Base class of the events for `NodeCore.handle`."""


@dataclasses.dataclass(slots=True, frozen=True)
class Tick(Event):
    """Time has passed; sent periodically, every `PeerSettings.tick_s`."""


@dataclasses.dataclass(slots=True, frozen=True)
class LinkUp(Event):
    """A link to a peer is open.

    Attributes:
      link_id: Number of the link, given by the transport.
      dialed: Address that this node dialed, None if the peer dialed.
    """

    link_id: int
    dialed: str | None


@dataclasses.dataclass(slots=True, frozen=True)
class LinkDown(Event):
    """A link is closed, by either side or by a failure."""

    link_id: int


@dataclasses.dataclass(slots=True, frozen=True)
class DialFailed(Event):
    """A link could not be opened.

    Attributes:
      address: Address that was dialed.
      refused: Whether the peer's machine refused the connection, which means
        that no process listens there.
    """

    address: str
    refused: bool


@dataclasses.dataclass(slots=True, frozen=True)
class MessageReceived(Event):
    """A peer sent a message."""

    link_id: int
    message: Message


@dataclasses.dataclass(slots=True, frozen=True)
class EntriesRead(Event):
    """The platform's log answered a read.

    Attributes:
      first_offset: Lowest offset that the log retains.
      entries: Entries in the order of their offsets.
      more: Whether the log holds entries after these.
    """

    first_offset: int
    entries: tuple[LogEntry, ...]
    more: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class ServerReported(Event):
    """The local backend server claimed or renewed its lease."""

    report: ServerReport


@dataclasses.dataclass(slots=True, frozen=True)
class RecordSubmitted(Event):
    """An operator wants a record appended."""

    record: Record


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptEnded(Event):
    """A request to a backend server ended."""

    result: AttemptResult


@dataclasses.dataclass(slots=True, frozen=True)
class StopRequested(Event):
    """The node was asked to stop and announces to its peers that it leaves."""
