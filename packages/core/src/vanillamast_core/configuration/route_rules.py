"""Validation rules on routes."""

import re
from collections.abc import Iterator, Set

from vanillamast_core.configuration.caller_class import DEFAULT_CLASS
from vanillamast_core.configuration.configuration import Configuration
from vanillamast_core.configuration.route import EDGE, Route
from vanillamast_core.configuration.validation import validation_rules
from vanillamast_core.configuration.validation_problem import (
    ProblemKind,
    ValidationProblem,
)

METHOD_PATTERN = re.compile(r"[A-Z][A-Z-]{0,31}")
# Path segments of RFC 3986, without percent-encoded "/" and dot segments.
PATH_PATTERN = re.compile(
    r"/|(/(?!\.{1,2}(/|\Z))([A-Za-z0-9._~!$&'()*+,;=:@-]|%[0-9A-F]{2})+)+"
)
PATH_FORM = (
    "'/' or segments that start with '/', of the characters of RFC 3986, "
    "without '.' and '..' segments, '%2F', query and final '/'"
)
MAX_PATH_LENGTH = 1_024  # characters


def _routes(configuration: Configuration) -> list[tuple[str, Route]]:
    return sorted(configuration.routes.items())


@validation_rules.register("route_service")
def check_route_services(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """The service of a route exists."""
    for name, route in _routes(configuration):
        if route.service not in configuration.services:
            yield ValidationProblem(
                ProblemKind.UNKNOWN_SERVICE,
                f"routes.{name}.service",
                repr(route.service),
                "a name in services",
            )


@validation_rules.register("route_class")
def check_route_classes(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """The caller class of a route exists."""
    for name, route in _routes(configuration):
        known = route.caller_class in configuration.classes
        if not known and route.caller_class != DEFAULT_CLASS:
            yield ValidationProblem(
                ProblemKind.UNKNOWN_CLASS,
                f"routes.{name}.caller_class",
                repr(route.caller_class),
                f"{DEFAULT_CLASS!r} or a name in classes",
            )


@validation_rules.register("route_callers")
def check_route_callers(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """A route has callers, and each of them exists."""
    allowed = f"{EDGE!r} or a name in services"
    for name, route in _routes(configuration):
        path = f"routes.{name}.callers"
        if not route.callers:
            yield ValidationProblem(
                ProblemKind.EMPTY, path, "none", f"at least one of {allowed}"
            )
        for caller in route.callers:
            if caller != EDGE and caller not in configuration.services:
                yield ValidationProblem(
                    ProblemKind.UNKNOWN_CALLER, path, repr(caller), allowed
                )


@validation_rules.register("route_path")
def check_route_paths(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """A path is normalized, so that prefixes can be compared as text."""
    for name, route in _routes(configuration):
        matched = PATH_PATTERN.fullmatch(route.path)
        if (
            not matched
            or "%2F" in route.path
            or len(route.path) > MAX_PATH_LENGTH
        ):
            yield ValidationProblem(
                ProblemKind.PATH_FORM,
                f"routes.{name}.path",
                repr(route.path[:MAX_PATH_LENGTH]),
                PATH_FORM,
            )


@validation_rules.register("route_methods")
def check_route_methods(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """A route has methods, in upper case."""
    for name, route in _routes(configuration):
        path = f"routes.{name}.methods"
        if not route.methods:
            yield ValidationProblem(
                ProblemKind.EMPTY, path, "none", "at least one method"
            )
        for method in route.methods:
            if not METHOD_PATTERN.fullmatch(method):
                yield ValidationProblem(
                    ProblemKind.METHOD_FORM,
                    path,
                    repr(method),
                    "methods of HTTP in upper case",
                )


@validation_rules.register("duplicate_route")
def check_duplicate_routes(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """A path and a method belong to one route, for all callers.

    A node may have routes for its own service and for outside callers, and a
    request does not say which of them sent it.
    """
    first_routes: dict[tuple[str, str], str] = {}
    for name, route in _routes(configuration):
        for method in sorted(set(route.methods)):
            first = first_routes.setdefault((route.path, method), name)
            if first != name:
                yield ValidationProblem(
                    ProblemKind.DUPLICATE_ROUTE,
                    f"routes.{name}",
                    f"{method} {route.path}",
                    f"one route for it, and that is {first!r}",
                )
