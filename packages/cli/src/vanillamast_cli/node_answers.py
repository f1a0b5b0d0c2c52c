"""Answers of the node's operator interface (docs/design.md, section 11).

Unknown fields are ignored, so that a command can call newer nodes.
"""

from typing import Any

import msgspec
from vanillamast_core.configuration import Configuration


class NodeStatus(msgspec.Struct):
    """Answer of `GET /v1/status`.

    Attributes:
      instance: Name of the instance.
      region: Region of the instance.
      failure_domain: Failure domain of the instance.
      service: Service of the backend server, "" for none.
      offset: Log offset up to which the node has applied records.
      version: Current configuration version.
      label: Label of the configuration version.
      applied_version: Configuration version that the node has applied.
      state: State of the node.
      links: Links to other nodes.
      reading_log: Whether the node reads the log itself.
    """

    instance: str
    offset: int
    version: int
    region: str = ""
    failure_domain: str = ""
    service: str = ""
    label: str = ""
    applied_version: int = 0
    state: str = ""
    links: int = 0
    reading_log: bool = False


class ConfigurationAnswer(msgspec.Struct):
    """Answer of `GET /v1/configuration`."""

    version: int
    offset: int
    configuration: Configuration
    label: str = ""


class RouteServer(msgspec.Struct):
    """A backend server that a route may use.

    Attributes:
      instance: Name of the instance.
      address: "ip:port" of the backend server.
      version: Version of the backend server.
      state: State that the backend server announces.
      liveness: "alive", "suspect" or "dead", "" if unknown.
      used: Whether the node sends requests to it.
      reason: Why it gets no requests, "" if it does.
    """

    instance: str
    address: str = ""
    version: str = ""
    state: str = ""
    liveness: str = ""
    used: bool = False
    reason: str = ""


class RouteSplit(msgspec.Struct):
    """How a move splits the requests of a service."""

    old: str
    new: str
    share: float


class RouteAnswer(msgspec.Struct):
    """A route as a node uses it."""

    name: str
    path: str
    service: str
    methods: tuple[str, ...] = ()
    callers: tuple[str, ...] = ()
    caller_class: str = ""
    timeout_ms: int = 0
    servers: list[RouteServer] = []
    split: RouteSplit | None = None


class RoutesAnswer(msgspec.Struct):
    """Answer of `GET /v1/routes`."""

    routes: list[RouteAnswer]


class MoveAnswer(msgspec.Struct):
    """A move and its progress.

    Attributes:
      step: Index of the current share, -1 before the first.
      deadline: Wall time in seconds.
      reason: Why it ended, "" before.
      verdict: Summary of the evidence so far, for operators.
      changed_at: Offset of the last change.
    """

    name: str
    service: str
    old: str
    new: str
    state: str
    step: int = -1
    share: float = 0.0
    deadline: float = 0.0
    reason: str = ""
    verdict: str = ""
    started_at: int = 0
    changed_at: int = 0


class MovesAnswer(msgspec.Struct):
    """Answer of `GET /v1/moves`, as of an offset."""

    offset: int
    moves: list[MoveAnswer]


class InstanceAnswer(msgspec.Struct):
    """An instance in the membership of the node that answered."""

    instance: str
    region: str = ""
    failure_domain: str = ""
    service: str = ""
    version: str = ""
    state: str = ""
    liveness: str = ""
    address: str = ""
    operator_address: str = ""


class InstancesAnswer(msgspec.Struct):
    """Answer of `GET /v1/instances`."""

    instances: list[InstanceAnswer]


class EventsAnswer(msgspec.Struct):
    """Answer of `GET /v1/events`.

    Attributes:
      events: Events, the oldest first; each has `kind` and `sequence`, its
        sequence number on this node.
    """

    events: list[dict[str, Any]]

    def last_sequence(self, after: int) -> int:
        """Returns the last event's number, or `after` without events."""
        return max([after, *(int(e["sequence"]) for e in self.events)])
