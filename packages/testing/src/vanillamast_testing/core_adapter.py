"""One node's control side in the in-memory network."""

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
    """Feeds a `NodeCore` as the network feeds a mesh.

    It also holds what the request path was told, and checks at every step
    what must always hold there.

    Attributes:
      core: The control side.
      rng: Randomness of the request path.
      version: Configuration version in use, 0 before the first.
      routes: Routes in use by name.
      services: Services that the request path has, by name.
      servers: Backend servers by service.
      splits: Splits by service.
      version_splits: Choosers of the version by service.
      notices: What happened, for the tests.
      violations: Broken promises, as text.
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

    # What the network calls.

    def tick(self, now: float) -> list[Any]:
        """Lets time pass."""
        return self.handle(Tick(), now)

    def handle_link_up(
        self, link_id: int, now: float, dialed: str | None = None
    ) -> list[Any]:
        """Opens a link."""
        return self.handle(LinkUp(link_id, dialed), now)

    def handle_link_down(self, link_id: int, now: float) -> list[Any]:
        """Closes a link."""
        return self.handle(LinkDown(link_id), now)

    def handle_dial_failed(
        self, address: str, refused: bool, now: float
    ) -> list[Any]:
        """Tells that a dial failed."""
        return self.handle(DialFailed(address, refused), now)

    def handle_message(
        self, link_id: int, message: Message, now: float
    ) -> list[Any]:
        """Delivers a message."""
        return self.handle(MessageReceived(link_id, message), now)

    def handle_log_entries_read(
        self, first: int, entries: Sequence[LogEntry], more: bool, now: float
    ) -> list[Any]:
        """Delivers an answer of the log."""
        return self.handle(EntriesRead(first, tuple(entries), more), now)

    def handle(self, event: Event, now: float) -> list[Any]:
        """Handles an event; returns what the network carries out."""
        rest = []
        for effect in self.core.handle(event, now, WALL_START_S + now):
            if not self._apply(effect):
                rest.append(effect)
        return rest

    # What the request path would do.

    def choose_version(self, service: str) -> str:
        """Chooses the version for a request."""
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
        """Applies an effect on the request path; whether it was one."""
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
