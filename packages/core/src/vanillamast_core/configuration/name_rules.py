"""Validation rules on the names of objects."""

import re
from collections.abc import Iterator, Set

from vanillamast_core.configuration.configuration import Configuration
from vanillamast_core.configuration.route import EDGE
from vanillamast_core.configuration.validation import validation_rules
from vanillamast_core.configuration.validation_problem import (
    ProblemKind,
    ValidationProblem,
)

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NAME_FORM = (
    "1 to 63 letters, digits, '.', '_' or '-', the first one a letter or digit"
)


def _objects(configuration: Configuration) -> Iterator[tuple[str, str]]:
    for kind in configuration.__struct_fields__:
        for name in sorted(getattr(configuration, kind)):
            yield kind, name


@validation_rules.register("name_form")
def check_name_forms(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """Names are valid in commands, log lines and header fields."""
    for kind, name in _objects(configuration):
        if not NAME_PATTERN.fullmatch(name):
            yield ValidationProblem(
                ProblemKind.NAME_FORM, f"{kind}.{name}", repr(name), NAME_FORM
            )


@validation_rules.register("reserved_name")
def check_reserved_names(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """No service has the name that stands for callers outside the mesh."""
    if EDGE in configuration.services:
        yield ValidationProblem(
            ProblemKind.RESERVED_NAME,
            f"services.{EDGE}",
            repr(EDGE),
            f"any name but {EDGE!r}",
        )
