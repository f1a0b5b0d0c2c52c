"""Longest-prefix matching of routes."""

from collections.abc import Iterable

from vanillamast_sidecar.routing.route import Route


class RouteTable:
    """Finds the route of a host and path.

    Attributes:
      routes_by_host: Routes of each host by path prefix.
    """

    def __init__(self, routes: Iterable[Route]):
        self.routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.routes_by_host.setdefault(route.host, {})[
                route.path_prefix
            ] = route

    def match(self, host: str, target: str) -> Route | None:
        """Returns the route with the longest prefix of the path.

        Args:
          host: Value of the Host header; its port is ignored.
          target: Request target with an optional query.
        """
        prefixes = self.routes_by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
