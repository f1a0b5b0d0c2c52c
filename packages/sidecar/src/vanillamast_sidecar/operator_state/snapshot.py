"""One version of the configuration, as a node applies it."""

import dataclasses

from vanillamast_sidecar.http.caller_limits import CallerLimits
from vanillamast_sidecar.organisations.organisation import Organisation
from vanillamast_sidecar.routing.route import Route


@dataclasses.dataclass(slots=True, frozen=True)
class WarmUp:
    """How the servers of a service warm up.

    Attributes:
      cold_s: Time that a server stays cold, in seconds.
      rate_per_s: Requests a second that a cold server tolerates.
    """

    cold_s: float
    rate_per_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """A complete configuration.

    Attributes:
      version: Configuration version; higher ones replace lower ones.
      routes: Routes.
      connection_limits: Connections that a server accepts, by service.
      limits: Limits on the requests of callers.
      raw: Published bytes, for nodes that fetch them from a peer; they hold
        API keys and are never logged.
      organisations: Organisations with their keys; empty if requests need no
        key.
      warm_ups: How servers warm up, by service; without an entry, a cold
        server has no limit.
    """

    version: int
    routes: tuple[Route, ...]
    connection_limits: dict[str, int]
    limits: CallerLimits
    raw: bytes = dataclasses.field(repr=False)
    organisations: tuple[Organisation, ...] = ()
    warm_ups: dict[str, WarmUp] = dataclasses.field(default_factory=dict)

    def get_longest_timeout_s(self, service: str) -> float:
        """Returns the longest timeout of a service's routes, 0 without one."""
        return max(
            (
                route.timeout_s
                for route in self.routes
                if any(name == service for name, _ in route.split)
            ),
            default=0.0,
        )
