"""Longest-prefix matching of routes."""

from collections.abc import Iterable

from vanillamast_sidecar.routing.route import Route


class RouteTable:
    """Finds the route of a host and path.

    Attributes:
      routes_by_host: Routes of each host by path prefix.
      lengths_by_host: Lengths of these prefixes, the longest first.
    """

    def __init__(self, routes: Iterable[Route]):
        self.routes_by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self.routes_by_host.setdefault(route.host, {})[
                route.path_prefix
            ] = route
        self.lengths_by_host = {
            host: sorted({len(prefix) for prefix in prefixes}, reverse=True)
            for host, prefixes in self.routes_by_host.items()
        }

    def match(self, host: str, target: str) -> Route | None:
        """Returns the route with the longest prefix of the path.

        Args:
          host: Value of the Host header; its port is ignored.
          target: Request target with an optional query.
        """
        name = host.partition(":")[0].lower()
        prefixes = self.routes_by_host.get(name)
        if prefixes is None:
            return None
        path = target.partition("?")[0]
        # A path may have thousands of slashes; the lengths are few.
        for length in self.lengths_by_host[name]:
            if length <= len(path) and path.startswith("/", length - 1):
                route = prefixes.get(path[:length])
                if route is not None:
                    return route
        return None
