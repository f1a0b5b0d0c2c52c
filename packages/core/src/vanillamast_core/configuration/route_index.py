"""Routes by path prefix and method."""

from collections.abc import Mapping

from vanillamast_core.configuration.route import Route
from vanillamast_core.configuration.route_match import (
    MethodNotAllowed,
    NoRoute,
    RouteFound,
    RouteMatch,
)


class RouteIndex:
    """Finds the route of a request in time that grows with its path only.

    Attributes:
      by_path: Routes by method, by path prefix.
      longest: Length of the longest prefix.
    """

    def __init__(self, routes: Mapping[str, Route]):
        self.by_path: dict[str, dict[str, RouteFound]] = {}
        for name, route in routes.items():
            methods = self.by_path.setdefault(route.path, {})
            for method in route.methods:
                methods[method] = RouteFound(name, route)
        self.longest = max(map(len, self.by_path), default=0)

    def match(self, method: str, path: str) -> RouteMatch:
        """Returns the route whose prefix is the longest.

        A shorter prefix that takes the method does not count when a longer
        one matches: which service answers depends on the path alone.

        Args:
          method: Method of the request, in upper case.
          path: Target of the request; a query is ignored.
        """
        if not path.startswith("/"):  # "*" or an absolute URI.
            return NoRoute()
        prefix = self._limit(path.partition("?")[0])
        while prefix:
            if methods := self.by_path.get(prefix):
                return methods.get(method) or MethodNotAllowed(
                    tuple(sorted(methods))
                )
            prefix = self._shorten(prefix)
        return NoRoute()

    def _limit(self, path: str) -> str:
        """Cuts what no prefix reaches, so that long paths cost no more."""
        if len(path) <= self.longest:
            return path
        return path[: path.rfind("/", 0, self.longest + 1)] or "/"

    def _shorten(self, prefix: str) -> str:
        """Returns the next shorter prefix that ends at a "/" boundary."""
        if prefix == "/":
            return ""
        return prefix[: prefix.rfind("/")] or "/"
