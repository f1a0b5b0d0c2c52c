"""Matches requests to routes."""

from vanillamast_core.configuration import Route


class RouteMatcher:
    """Matches paths by their longest prefix that has a route for the method.

    Attributes:
      prefixes: Route names by method, by prefix without a final "/".
      routes: Routes by name.
    """

    def __init__(self, routes: dict[str, Route]):
        self.routes = routes
        self.prefixes: dict[str, dict[str, str]] = {}
        for name, route in routes.items():
            methods = self.prefixes.setdefault(route.path.rstrip("/"), {})
            for method in route.methods:
                methods[method] = name

    def match(self, method: str, path: str) -> tuple[str, bool]:
        """Finds the route of a request.

        Returns:
          The route's name, "" if there is none, and whether any route, of
          whatever method, has a prefix of the path.
        """
        path_known = False
        prefix = path.rstrip("/")
        while True:
            methods = self.prefixes.get(prefix)
            if methods is not None:
                path_known = True
                if method in methods:
                    return methods[method], True
            if not prefix:
                return "", path_known
            prefix = prefix[: prefix.rfind("/")] if "/" in prefix else ""
