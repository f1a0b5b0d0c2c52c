"""The routes and services that a node has applied."""

from collections.abc import Callable, Mapping

from vanillamast_core.configuration.caller_class import (
    DEFAULT_CLASS,
    CallerClass,
)
from vanillamast_core.configuration.configuration import Configuration
from vanillamast_core.configuration.pending_version import PendingVersion
from vanillamast_core.configuration.route import EDGE, Route
from vanillamast_core.configuration.route_index import RouteIndex
from vanillamast_core.configuration.route_match import RouteMatch
from vanillamast_core.configuration.service import Service
from vanillamast_core.configuration.table_step import (
    AddServices,
    RemoveServices,
    SwitchRoutes,
    TableStep,
)

SERVER_WAIT_S = 2.0
# Bounds the delay by versions that replace each other: an accepted
# configuration is active within 12 s.
MAX_WAIT_S = 6.0

HasUsableServer = Callable[[str], bool]


class RoutingTable:
    """Applies configuration versions on a node, make before break.

    Attributes:
      service: Service of the local server, "" if there is none.
      edge: Whether callers outside the mesh connect to the node.
      applied_version: Configuration version whose routes are active, 0 before
        the first.
      routes: The active routes by name.
      classes: Caller classes of the applied version by name.
      services: Services whose backend servers the node keeps; those that an
        active route references have the values of the applied version.
      pending: The version that waits for usable backend servers, if any.
      wait_until: Monotonic time until which the node waits for a usable
        backend server, by newly referenced service.
      switch_at: Monotonic time at which the pending version becomes active
        even if backend servers are missing.
      route_index: Index of the active routes.
    """

    def __init__(self, service: str, edge: bool):
        self.service = service
        self.edge = edge
        self.applied_version = 0
        self.routes: dict[str, Route] = {}
        self.classes: dict[str, CallerClass] = {DEFAULT_CLASS: CallerClass()}
        self.services: dict[str, Service] = {}
        self.pending: PendingVersion | None = None
        self.wait_until: dict[str, float] = {}
        self.switch_at: float | None = None
        self.route_index = RouteIndex({})

    def update(
        self,
        version: int,
        configuration: Configuration,
        now: float,
        has_usable: HasUsableServer,
    ) -> list[TableStep]:
        """Applies a version, or makes it pending if servers are missing.

        To be called when the log has a new version. The table has changed when
        this returns; the steps tell the caller, in order, for which services
        to add and remove backend servers. Call `advance` after the steps were
        carried out, when backend servers change and at `wake_at`.

        Args:
          version: Configuration version (an offset); ignored unless it is
            above the applied and the pending version.
          configuration: The whole valid configuration of that version.
          now: Monotonic time in seconds.
          has_usable: Whether the node knows a usable backend server of a
            service.
        """
        steps: list[TableStep] = []
        newest = self.pending.version if self.pending else self.applied_version
        if version > newest:
            steps += self._set_pending(version, configuration, now)
        steps += self.advance(now, has_usable)
        return steps

    def advance(
        self, now: float, has_usable: HasUsableServer
    ) -> list[TableStep]:
        """Activates the pending version if its services have usable servers."""
        if self.pending is None or self._must_wait(now, has_usable):
            return []
        unready = tuple(s for s in self.wait_until if not has_usable(s))
        return [
            self._switch(self.pending, unready),
            *self._remove_unneeded_services(),
        ]

    def match(self, method: str, path: str) -> RouteMatch:
        """Returns the route of a request, or the reason why there is none."""
        return self.route_index.match(method, path)

    @property
    def wake_at(self) -> float | None:
        """Latest time at which `advance` activates the pending version."""
        if self.pending is None or self.switch_at is None:
            return None
        return min(max(self.wait_until.values()), self.switch_at)

    def select_routes(self, configuration: Configuration) -> dict[str, Route]:
        """Returns the routes of a configuration that this node serves."""
        own = {EDGE} if self.edge else set()
        if self.service:
            own.add(self.service)
        return {
            name: route
            for name, route in configuration.routes.items()
            if not own.isdisjoint(route.callers)
        }

    def _set_pending(
        self, version: int, configuration: Configuration, now: float
    ) -> list[TableStep]:
        routes = self.select_routes(configuration)
        needed = {route.service for route in routes.values()}
        services = {s: configuration.services[s] for s in sorted(needed)}
        classes = {DEFAULT_CLASS: CallerClass(), **configuration.classes}
        self.pending = PendingVersion(version, routes, services, classes)
        in_use = {route.service for route in self.routes.values()}
        self.wait_until = {
            name: self.wait_until.get(name, now + SERVER_WAIT_S)
            for name in services
            if name not in in_use
        }
        if self.switch_at is None:
            self.switch_at = now + MAX_WAIT_S
        return (
            self._add_services(version, services)
            + self._remove_unneeded_services()
        )

    def _add_services(
        self, version: int, services: Mapping[str, Service]
    ) -> list[TableStep]:
        added = {n: s for n, s in services.items() if n not in self.services}
        self.services.update(added)
        return [AddServices(version, added)] if added else []

    def _must_wait(self, now: float, has_usable: HasUsableServer) -> bool:
        if self.switch_at is not None and now >= self.switch_at:
            return False
        return any(
            now < until and not has_usable(name)
            for name, until in self.wait_until.items()
        )

    def _switch(
        self, pending: PendingVersion, unready: tuple[str, ...]
    ) -> SwitchRoutes:
        self.routes = pending.routes
        self.route_index = RouteIndex(pending.routes)
        self.classes = pending.classes
        self.services.update(pending.services)
        self.applied_version = pending.version
        self.pending = None
        self.wait_until = {}
        self.switch_at = None
        return SwitchRoutes(pending.version, pending.routes, unready)

    def _remove_unneeded_services(self) -> list[TableStep]:
        """Removes services that no active or pending route references."""
        needed = {route.service for route in self.routes.values()}
        if self.pending:
            needed.update(self.pending.services)
        removed = tuple(sorted(self.services.keys() - needed))
        for name in removed:
            del self.services[name]
        return [RemoveServices(removed)] if removed else []
