"""Results of the lookup of a route by method and path."""

import dataclasses

from vanillamast_core.configuration.route import Route


@dataclasses.dataclass(slots=True, frozen=True)
class RouteFound:
    """The route that matches the request."""

    name: str
    route: Route


@dataclasses.dataclass(slots=True, frozen=True)
class NoRoute:
    """No route matches the path: status 404."""


@dataclasses.dataclass(slots=True, frozen=True)
class MethodNotAllowed:
    """The routes of the longest prefix have other methods: status 405.

    Attributes:
      allowed: Methods of these routes, for the header field `Allow`.
    """

    allowed: tuple[str, ...]


RouteMatch = RouteFound | NoRoute | MethodNotAllowed
