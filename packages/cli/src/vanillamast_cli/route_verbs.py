"""Commands that show and explain routes."""

import dataclasses
from typing import Any

import msgspec
from vanillamast_core.configuration import (
    MethodNotAllowed,
    Route,
    RouteFound,
    RouteMatch,
)
from vanillamast_core.configuration.route_index import RouteIndex

from vanillamast_cli.context import Context
from vanillamast_cli.node_answers import RouteAnswer, RoutesAnswer
from vanillamast_cli.report import Report, Table
from vanillamast_cli.verb import Verb, verbs

SERVER_COLUMNS = (
    "instance",
    "address",
    "version",
    "state",
    "liveness",
    "used",
    "not used because",
)


def make_server_table(route: RouteAnswer) -> Table:
    """Returns a table of a route's backend servers."""
    rows = [msgspec.structs.astuple(server) for server in route.servers]
    return Table(SERVER_COLUMNS, rows)


def format_route(route: RouteAnswer) -> str:
    """Describes a route in one line."""
    methods = ",".join(route.methods)
    text = f"{route.name}: {methods} {route.path} -> {route.service}"
    if route.split is None:
        return text
    split = route.split
    return f"{text}, {split.share:g} to {split.new}, the rest to {split.old}"


@verbs.register("show_routes")
@dataclasses.dataclass(frozen=True, slots=True)
class ShowRoutes(Verb):
    """Shows the routes of the node that answers, with their servers."""

    service: str | None = None

    usage = "show routes [for SERVICE]"
    summary = "shows the node's routes and their backend servers"
    example = "vanillamast 'show routes for browse'"

    async def run(self, context: Context) -> Report:
        """Shows the routes."""
        answer = await context.client.get("/v1/routes", RoutesAnswer)
        routes = [
            route
            for route in answer.routes
            if self.service in (None, route.service)
        ]
        blocks: list[str | Table] = []
        for route in routes:
            blocks += [format_route(route), make_server_table(route), ""]
        if not routes:
            blocks = [f"no routes for {self.service}" if self.service else "-"]
        return Report(msgspec.to_builtins(routes), blocks)


@verbs.register("explain_route")
@dataclasses.dataclass(frozen=True, slots=True)
class ExplainRoute(Verb):
    """Shows which route matches a request, and why the others do not."""

    method: str
    path: str

    usage = "explain route METHOD PATH"
    summary = "says which route of the node takes a request, and why"
    example = "vanillamast 'explain route GET /chapter/7'"

    async def run(self, context: Context) -> Report:
        """Explains the choice."""
        answer = await context.client.get("/v1/routes", RoutesAnswer)
        routes = {route.name: route for route in answer.routes}
        index = RouteIndex(
            {
                name: Route(route.path, route.service, route.methods)
                for name, route in routes.items()
            }
        )
        match = index.match(self.method, self.path)
        reasons = {
            name: self.explain(route, match) for name, route in routes.items()
        }
        rows = [(name, routes[name].path, why) for name, why in reasons.items()]
        blocks: list[str | Table] = [self.describe_match(match)]
        if isinstance(match, RouteFound):
            blocks.append(make_server_table(routes[match.name]))
        blocks += ["", Table(("route", "path", "why"), rows)]
        return Report(self.to_dict(match, reasons), blocks)

    def to_dict(self, match: RouteMatch, reasons: dict[str, str]) -> Any:
        """Returns the match and the reasons as plain data."""
        found = isinstance(match, RouteFound)
        return {
            "route": match.name if found else None,  # type: ignore[union-attr]
            "result": self.describe_match(match),
            "reasons": reasons,
        }

    def describe_match(self, match: RouteMatch) -> str:
        """Describes the match in one line."""
        request = f"{self.method} {self.path}"
        if isinstance(match, RouteFound):
            return f"{request}: route {match.name} to {match.route.service}"
        if isinstance(match, MethodNotAllowed):
            allowed = ", ".join(match.allowed)
            return f"{request}: 405, the longest prefix takes {allowed}"
        return f"{request}: 404, no route has a prefix of the path"

    def explain(self, route: RouteAnswer, match: RouteMatch) -> str:
        """Returns why a route matches the request or does not."""
        if isinstance(match, RouteFound) and match.name == route.name:
            return "takes it: the longest prefix, and it takes the method"
        path = self.path.partition("?")[0]
        prefix = route.path.rstrip("/") + "/"
        if path != route.path and not path.startswith(prefix):
            return "its path is no prefix"
        longer = (
            isinstance(match, RouteFound) and match.route.path != route.path
        )
        if longer:
            return "another route has a longer prefix"
        if self.method not in route.methods:
            return f"takes {', '.join(route.methods)} only"
        return "another route has a longer prefix, whose methods differ"
