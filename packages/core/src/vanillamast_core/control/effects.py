"""Effects that `NodeCore` returns for the node to carry out."""

import dataclasses
from typing import Any

from vanillamast_core.announcement import Announcement
from vanillamast_core.configuration import CallerClass, Route, Service
from vanillamast_core.journal import Outcome, Record
from vanillamast_core.peers import CloseLink, Dial, ReadLog, Send


@dataclasses.dataclass(slots=True, frozen=True)
class Append:
    """Appends a record to the platform's log, with retries until confirmed.

    Attributes:
      record: The record.
      timeout_s: Time after which the append is given up.
    """

    record: Record
    timeout_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class SetRoutes:
    """Switches all routes of the request path at once.

    Attributes:
      version: Configuration version that becomes active.
      routes: Routes by name.
      classes: Caller classes by name.
      services: Services by name.
      unready: Services without a usable backend server.
    """

    version: int
    routes: dict[str, Route]
    classes: dict[str, CallerClass]
    services: dict[str, Service]
    unready: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class SetServers:
    """Replaces the backend servers of a service.

    Attributes:
      service: Name of the service.
      servers: Backend servers that may be used.
      panic: Whether some version has no usable server, so that servers last
        known to serve are included.
    """

    service: str
    servers: tuple[Announcement, ...]
    panic: bool


@dataclasses.dataclass(slots=True, frozen=True)
class DropService:
    """Removes a service that no route names any more."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class SetSplit:
    """Sets how a service's traffic is split between two versions.

    Attributes:
      service: Name of the service.
      old: Server version that gets the other requests.
      new: Server version that gets the share.
      share: Share of the new version, from 0 to 1.
    """

    service: str
    old: str
    new: str
    share: float


@dataclasses.dataclass(slots=True, frozen=True)
class ClearSplit:
    """Ends the split of a service."""

    service: str


@dataclasses.dataclass(slots=True, frozen=True)
class OutcomeFolded:
    """Reports the outcome of a record that was read from the log."""

    outcome: Outcome


@dataclasses.dataclass(slots=True, frozen=True)
class Notice:
    """An event for operators, which is also logged.

    Attributes:
      kind: Dotted name of the event, such as "move.changed".
      fields: Details as JSON values.
    """

    kind: str
    fields: dict[str, Any]


RequestEffect = SetRoutes | SetServers | DropService | SetSplit | ClearSplit
Effect = (
    Append
    | CloseLink
    | Dial
    | Notice
    | OutcomeFolded
    | ReadLog
    | RequestEffect
    | Send
)
