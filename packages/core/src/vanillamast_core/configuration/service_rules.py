"""Validation rule on services."""

from collections.abc import Iterator, Set

from vanillamast_core.configuration.configuration import Configuration
from vanillamast_core.configuration.validation import validation_rules
from vanillamast_core.configuration.validation_problem import (
    ProblemKind,
    ValidationProblem,
)


@validation_rules.register("service_version")
def check_service_versions(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """A service has a server version."""
    for name, service in sorted(configuration.services.items()):
        if not service.version:
            yield ValidationProblem(
                ProblemKind.EMPTY,
                f"services.{name}.version",
                repr(service.version),
                "a version of its backend servers",
            )
