"""Entry point of the request path for the node's listener."""

import random

from vanillamast_core.announcement import Announcement
from vanillamast_core.configuration import CallerClass, Route, Service
from vanillamast_core.requests.deadline import Deadline
from vanillamast_core.requests.exchange import Exchange
from vanillamast_core.requests.exchange_effects import ExchangeEffect
from vanillamast_core.requests.exchange_events import ExchangeEvent
from vanillamast_core.requests.refusal import Refusal, make_refusal
from vanillamast_core.requests.request_inputs import RequestInputs
from vanillamast_core.requests.route_matcher import RouteMatcher
from vanillamast_core.requests.service_pool import ServicePool
from vanillamast_core.requests.settings import RequestSettings
from vanillamast_core.requests.version_chooser import SplitFactory


class RequestRouter:
    """Routes requests by the routes and servers that the control plane sets.

    These may change at any time; a request in flight keeps its route and the
    slots that it holds.

    Attributes:
      settings: Settings of the request path.
      failure_domain: Failure domain of this node.
      rng: Random number generator.
      split_factory: Creates the chooser between the versions of a move.
      table: The active routes, None before the first configuration.
      classes: Caller classes by name.
      services: Services by name.
      pools: Backend servers and queues by service.
    """

    def __init__(
        self,
        settings: RequestSettings,
        failure_domain: str,
        rng: random.Random,
        split_factory: SplitFactory,
    ):
        self.settings = settings
        self.failure_domain = failure_domain
        self.rng = rng
        self.split_factory = split_factory
        self.table: RouteMatcher | None = None
        self.classes: dict[str, CallerClass] = {}
        self.services: dict[str, Service] = {}
        self.pools: dict[str, ServicePool] = {}

    # Inputs from the control plane.

    def set_routes(
        self,
        routes: dict[str, Route],
        classes: dict[str, CallerClass],
        services: dict[str, Service],
    ) -> None:
        """Replaces routes, caller classes and services in one step."""
        self.table = RouteMatcher(routes)
        self.classes = classes
        self.services = services
        for pool in self.pools.values():
            self._configure_pool(pool)

    def set_servers(
        self,
        service: str,
        announcements: list[Announcement],
        panic: bool,
        now: float,
        wall: float,
    ) -> list[ExchangeEffect]:
        """Replaces the usable backend servers of a service.

        Args:
          service: Name of the service.
          announcements: Its backend servers to use, of all versions.
          panic: Whether some version has no usable server, so that servers last
            known to serve are included.
          now: Monotonic time in seconds.
          wall: Wall time in seconds since the epoch.

        Returns:
          Effects for waiting requests that may start now.
        """
        pool = self.get_pool(service)
        pool.set_servers(announcements, panic, now, wall)
        return pool.dispatch(now)

    def set_split(self, service: str, old: str, new: str, share: float) -> None:
        """Sets the authorized share of a move's new version.

        An unchanged split keeps its chooser, so that its long-run share stays
        exact when the control plane sets it again.
        """
        pool = self.get_pool(service)
        same = (pool.old_version, pool.new_version, pool.new_share) == (
            old,
            new,
            share,
        )
        if pool.version_chooser is not None and same:
            return
        chooser = self.split_factory(share, self.rng)
        pool.set_split(old, new, share, chooser)

    def clear_split(self, service: str) -> None:
        """Ends the split of a service: its default version gets all traffic."""
        self.get_pool(service).clear_split()

    def get_pool(self, service: str) -> ServicePool:
        """Returns the pool of a service; creates it if there is none."""
        pool = self.pools.get(service)
        if pool is None:
            pool = ServicePool(
                service, self.settings, self.failure_domain, self.rng
            )
            self._configure_pool(pool)
            self.pools[service] = pool
        return pool

    def _configure_pool(self, pool: ServicePool) -> None:
        pool.queue.classes = self.classes
        service = self.services.get(pool.service)
        if service is not None:
            pool.default_version = service.version
            pool.retry_budget.ratio = service.retry_ratio

    # Requests.

    def route(
        self, method: str, path: str, inputs: RequestInputs, now: float
    ) -> Exchange | Refusal:
        """Finds the route of a request.

        Args:
          method: HTTP method.
          path: Decoded path.
          inputs: Values from the request's header.
          now: Monotonic time in seconds.

        Returns:
          An exchange to `start`, or a refusal.
        """
        if self.table is None:
            return make_refusal("no_configuration")
        name, path_known = self.table.match(method, path)
        if not name:
            return make_refusal(
                "method_not_allowed" if path_known else "no_route"
            )
        route = self.table.routes[name]
        return Exchange(
            self.get_pool(route.service),
            name,
            route,
            method,
            inputs,
            Deadline.earliest(route.timeout_ms, inputs.deadline_ms, now),
            route.is_idempotent(method),
        )

    def start(self, exchange: Exchange, now: float) -> list[ExchangeEffect]:
        """Starts a routed request."""
        return exchange.start(now)

    def handle(
        self, exchange: Exchange, event: ExchangeEvent, now: float
    ) -> list[ExchangeEffect]:
        """Handles an event of a request.

        Returns:
          Effects for this request and, if a slot became free, for waiting
          requests; see `ExchangeEffect.exchange`.
        """
        pool = exchange.pool
        effects = exchange.handle(event, now)
        if pool.queue.size:
            effects = effects + pool.dispatch(now)
        return effects

    def in_flight(self) -> int:
        """Returns the number of attempts that hold a slot."""
        return sum(
            server.outstanding
            for pool in self.pools.values()
            for server in pool.servers.values()
        )
