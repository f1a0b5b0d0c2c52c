"""Tests of the lookup of routes."""

from vanillamast_sidecar.routing.route import Route
from vanillamast_sidecar.routing.route_table import RouteTable


def route(name: str, prefix: str, host: str = "a.example") -> Route:
    """Returns a route with default values."""
    return Route(name, host, prefix, True, 1.0, 0.5, 1, 2, (("s", 1.0),))


class TestRouteTable:
    """Longest-prefix matching among the routes of a host."""

    def test_the_longest_prefix_wins(self):
        """Guards against matching a shorter prefix if a longer one fits."""
        table = RouteTable([route("short", "/a/"), route("long", "/a/b/")])
        assert table.match("a.example", "/a/b/c").name == "long"
        assert table.match("a.example", "/a/x").name == "short"

    def test_a_prefix_ends_at_a_slash(self):
        """Guards against matching /ab as a path below /a/."""
        table = RouteTable([route("only", "/a/")])
        assert table.match("a.example", "/ab") is None
        assert table.match("a.example", "/a") is None

    def test_the_query_is_no_part_of_the_path(self):
        """Guards against slashes in a query that change the matched route."""
        table = RouteTable([route("root", "/"), route("deep", "/a/b/")])
        assert table.match("a.example", "/x?next=/a/b/").name == "root"

    def test_the_host_is_compared_without_port_and_case(self):
        """Guards against 404 for a host with a port or upper-case letters."""
        table = RouteTable([route("only", "/")])
        assert table.match("A.Example:8080", "/x").name == "only"
        assert table.match("b.example", "/x") is None
