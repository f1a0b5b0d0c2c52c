"""Actions and events that the mesh returns to its caller."""

import dataclasses
from typing import TypeAlias

from vanillamast_core.journal import LogEntry
from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.peers.message import Message


@dataclasses.dataclass(frozen=True, slots=True)
class Dial:
    """Open a link.

    The caller reports the result by `Mesh.handle_link_up` or
    `Mesh.handle_dial_failed`.
    """

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class CloseLink:
    """Close a link once everything sent on it has been transmitted.

    `Mesh.handle_link_down` is not called for it.
    """

    link_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send a message on a link."""

    link_id: int
    message: Message


@dataclasses.dataclass(frozen=True, slots=True)
class ReadLog:
    """Start or stop reading the platform's log."""

    active: bool


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesApplied:
    """Log entries were applied; `results` holds what `apply` returned."""

    entries: tuple[LogEntry, ...]
    results: tuple[object, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StateLoaded:
    """A peer's snapshot replaced the state."""

    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class AlarmRaised:
    """A move was rolled back; its new version must get no requests."""

    started_at: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class EvidenceReceived:
    """Evidence for this node's judge or driver."""

    cells: tuple[EvidenceCell, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryChanged:
    """Announcements or liveness changed for these services."""

    services: frozenset[str]


PeerEffect: TypeAlias = (
    Dial
    | CloseLink
    | Send
    | ReadLog
    | EntriesApplied
    | StateLoaded
    | AlarmRaised
    | EvidenceReceived
    | DirectoryChanged
)
