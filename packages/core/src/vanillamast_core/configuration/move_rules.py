"""Validation rules on moves."""

from collections.abc import Iterator, Set
from itertools import pairwise

from vanillamast_core.configuration.configuration import Configuration
from vanillamast_core.configuration.move_spec import MoveSpec
from vanillamast_core.configuration.validation import validation_rules
from vanillamast_core.configuration.validation_problem import (
    ProblemKind,
    ValidationProblem,
)

MAX_STEPS = 64


def _moves(configuration: Configuration) -> list[tuple[str, MoveSpec]]:
    return sorted(configuration.moves.items())


def _active_moves(
    configuration: Configuration, ended_moves: Set[str]
) -> list[tuple[str, MoveSpec]]:
    return [
        (name, move)
        for name, move in _moves(configuration)
        if name not in ended_moves
    ]


@validation_rules.register("move_steps")
def check_move_steps(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """The shares increase from above 0 to exactly 1."""
    for name, move in _moves(configuration):
        steps = (0.0, *move.steps)
        rising = all(low < high for low, high in pairwise(steps))
        if not rising or steps[-1] != 1.0 or len(move.steps) > MAX_STEPS:
            yield ValidationProblem(
                ProblemKind.MOVE_STEPS,
                f"moves.{name}.steps",
                repr(list(move.steps[:MAX_STEPS])),
                f"1 to {MAX_STEPS} shares above 0, rising, the last one 1",
            )


@validation_rules.register("move_versions")
def check_move_versions(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """A move has two different server versions."""
    for name, move in _moves(configuration):
        path = f"moves.{name}.new"
        if not move.old or not move.new:
            yield ValidationProblem(
                ProblemKind.EMPTY,
                path,
                f"from {move.old!r} to {move.new!r}",
                "two versions of backend servers",
            )
        elif move.old == move.new:
            yield ValidationProblem(
                ProblemKind.SAME_VERSION,
                path,
                repr(move.new),
                "a version other than `old`",
            )


@validation_rules.register("move_service")
def check_move_services(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """The old version of an active move is its service's version."""
    for name, move in _active_moves(configuration, ended_moves):
        service = configuration.services.get(move.service)
        if service is None:
            yield ValidationProblem(
                ProblemKind.UNKNOWN_SERVICE,
                f"moves.{name}.service",
                repr(move.service),
                "a name in services",
            )
        elif service.version != move.old:
            yield ValidationProblem(
                ProblemKind.MOVE_VERSION,
                f"moves.{name}.old",
                repr(move.old),
                f"the version of its service, {service.version!r}",
            )


@validation_rules.register("move_overlap")
def check_move_overlaps(
    configuration: Configuration, ended_moves: Set[str]
) -> Iterator[ValidationProblem]:
    """A service has at most one active move."""
    first_moves: dict[str, str] = {}
    for name, move in _active_moves(configuration, ended_moves):
        first = first_moves.setdefault(move.service, name)
        if first != name:
            yield ValidationProblem(
                ProblemKind.MOVE_OVERLAP,
                f"moves.{name}.service",
                repr(move.service),
                f"a service without a move that runs, and {first!r} does",
            )
