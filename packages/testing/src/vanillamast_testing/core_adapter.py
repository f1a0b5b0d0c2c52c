"""One node's control plane in the in-memory network."""

import random
from collections.abc import Callable, Sequence
from typing import Any

from vanillamast_core.announcement import Announcement
from vanillamast_core.configuration import Route, Service
from vanillamast_core.control import (
    Append,
    ClearSplit,
    DialFailed,
    DropService,
    EntriesRead,
    Event,
    LinkDown,
    LinkUp,
    MessageReceived,
    NodeCore,
    Notice,
    OutcomeFolded,
    SetRoutes,
    SetServers,
    SetSplit,
    Tick,
)
from vanillamast_core.journal import LogEntry
from vanillamast_core.moves import VersionSplit
from vanillamast_core.peers import Message

WALL_START_S = 1_800_000_000.0


class CoreAdapter:
    """Gives a `NodeCore` the interface that the network expects of a mesh.

    It also keeps the state that the request path would have, and checks the
    invariants of this state after every change.

    Attributes:
      core: The control plane.
      rng: Source of randomness of the request path.
      version: Applied configuration version, 0 before the first.
      routes: Active routes by name.
      services: Services that the request path has, by name.
      servers: Backend servers by service.
      splits: Traffic splits by service.
      version_splits: Objects that choose a request's server version, by
        service.
      notices: Notices of the control plane, for tests.
      violations: Violated invariants, as text.
      on_request_path_effect: Called with each effect for the request path.
    """

    def __init__(self, core: NodeCore, rng: random.Random):
        self.core = core
        self.rng = rng
        self.version = 0
        self.routes: dict[str, Route] = {}
        self.services: dict[str, Service] = {}
        self.servers: dict[str, tuple[Announcement, ...]] = {}
        self.splits: dict[str, SetSplit] = {}
        self.version_splits: dict[str, VersionSplit] = {}
        self.notices: list[Notice] = []
        self.appends: list[Append] = []
        self.outcomes: list[OutcomeFolded] = []
        self.violations: list[str] = []
        self.on_request_path_effect: Callable[[Any], None] = lambda effect: None

    # Called by the network.

    def tick(self, now: float) -> list[Any]:
        """Handles a tick."""
        return self.handle(Tick(), now)

    def handle_link_up(
        self, link_id: int, now: float, dialed: str | None = None
    ) -> list[Any]:
        """Handles an opened link."""
        return self.handle(LinkUp(link_id, dialed), now)

    def handle_link_down(self, link_id: int, now: float) -> list[Any]:
        """Handles a closed link."""
        return self.handle(LinkDown(link_id), now)

    def handle_dial_failed(
        self, address: str, refused: bool, now: float
    ) -> list[Any]:
        """Handles a failed dial."""
        return self.handle(DialFailed(address, refused), now)

    def handle_message(
        self, link_id: int, message: Message, now: float
    ) -> list[Any]:
        """Handles a message."""
        return self.handle(MessageReceived(link_id, message), now)

    def handle_log_entries_read(
        self, first: int, entries: Sequence[LogEntry], more: bool, now: float
    ) -> list[Any]:
        """Handles entries that were read from the log."""
        return self.handle(EntriesRead(first, tuple(entries), more), now)

    def handle(self, event: Event, now: float) -> list[Any]:
        """Handles an event; returns the effects for the network."""
        rest = []
        for effect in self.core.handle(event, now, WALL_START_S + now):
            if not self._apply(effect):
                rest.append(effect)
        return rest

    # Decisions of the request path.

    def choose_version(self, service: str) -> str:
        """Chooses the server version for a request."""
        split = self.splits.get(service)
        if split is None:
            return self.services[service].version
        if self.version_splits[service].choose():
            return split.new
        return split.old

    def choose_server(self, service: str) -> Announcement | None:
        """Chooses a backend server for a request, None if there is none."""
        version = self.choose_version(service)
        candidates = [
            a
            for a in self.servers.get(service, ())
            if a.server_version == version
        ]
        return self.rng.choice(candidates) if candidates else None

    def _apply(self, effect: Any) -> bool:
        """Applies an effect for the request path; returns False for others."""
        if isinstance(effect, Notice):
            self.notices.append(effect)
        elif isinstance(effect, OutcomeFolded):
            self.outcomes.append(effect)
        elif isinstance(effect, SetRoutes):
            self._set_routes(effect)
        elif isinstance(effect, SetServers):
            self.servers[effect.service] = effect.servers
        elif isinstance(effect, DropService):
            self.servers.pop(effect.service, None)
            self.splits.pop(effect.service, None)
        elif isinstance(effect, SetSplit):
            self.splits[effect.service] = effect
            self.version_splits[effect.service] = VersionSplit(
                effect.share, self.rng
            )
        elif isinstance(effect, ClearSplit):
            self.splits.pop(effect.service, None)
        else:
            return False
        self.on_request_path_effect(effect)
        self._check_route_services()
        return True

    def _set_routes(self, effect: SetRoutes) -> None:
        if effect.version < self.version:
            self.violations.append(
                f"no-rollback: {self.version} to {effect.version}"
            )
        self.version = effect.version
        self.routes = effect.routes
        self.services = effect.services

    def _check_route_services(self) -> None:
        for name, route in self.routes.items():
            if route.service not in self.servers:
                self.violations.append(
                    f"no-dangling-route: {name} names {route.service}"
                )
