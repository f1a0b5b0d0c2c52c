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
    """Finds a request's route in time that depends on its path only.

    Attributes:
      by_prefix: Routes by method, for each path prefix.
      max_prefix_length: Length of the longest prefix.
    """

    def __init__(self, routes: Mapping[str, Route]):
        self.by_prefix: dict[str, dict[str, RouteFound]] = {}
        for name, route in routes.items():
            methods = self.by_prefix.setdefault(route.path, {})
            for method in route.methods:
                methods[method] = RouteFound(name, route)
        self.max_prefix_length = max(map(len, self.by_prefix), default=0)

    def match(self, method: str, path: str) -> RouteMatch:
        """Returns the route with the longest matching prefix.

        If the longest prefix has no route for the method, shorter ones are not
        tried: the path alone decides which service handles a request.

        Args:
          method: Method of the request, in upper case.
          path: Target of the request; a query is ignored.
        """
        if not path.startswith("/"):  # "*" or an absolute URI.
            return NoRoute()
        prefix = self._truncate(path.partition("?")[0])
        while prefix:
            if methods := self.by_prefix.get(prefix):
                return methods.get(method) or MethodNotAllowed(
                    tuple(sorted(methods))
                )
            prefix = self._parent_prefix(prefix)
        return NoRoute()

    def _truncate(self, path: str) -> str:
        """Truncates a path to the longest prefix, to bound the lookup time."""
        if len(path) <= self.max_prefix_length:
            return path
        return path[: path.rfind("/", 0, self.max_prefix_length + 1)] or "/"

    def _parent_prefix(self, prefix: str) -> str:
        """Returns the next shorter prefix at a "/" boundary, "" for none."""
        if prefix == "/":
            return ""
        return prefix[: prefix.rfind("/")] or "/"
