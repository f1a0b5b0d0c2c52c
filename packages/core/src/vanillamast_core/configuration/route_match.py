"""What a node finds for a method and a path."""

import dataclasses

from vanillamast_core.configuration.route import Route


@dataclasses.dataclass(slots=True, frozen=True)
class RouteFound:
    """The route that takes the request."""

    name: str
    route: Route


@dataclasses.dataclass(slots=True, frozen=True)
class NoRoute:
    """No route has a prefix of the path: status 404."""


@dataclasses.dataclass(slots=True, frozen=True)
class MethodNotAllowed:
    """The routes of the longest prefix take other methods: status 405.

    Attributes:
      allowed: The methods that they take, for the field `Allow`.
    """

    allowed: tuple[str, ...]


RouteMatch = RouteFound | NoRoute | MethodNotAllowed
