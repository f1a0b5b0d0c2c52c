"""Validation of a configuration as a whole."""

from collections.abc import Callable, Iterator, Set

from vanillamast_core.configuration.configuration import Configuration
from vanillamast_core.configuration.validation_problem import ValidationProblem
from vanillamast_core.registry import Registry

ValidationRule = Callable[
    [Configuration, Set[str]], Iterator[ValidationProblem]
]
validation_rules: Registry[ValidationRule] = Registry("validation rule")


def validate(
    configuration: Configuration, ended_moves: Set[str] = frozenset()
) -> list[ValidationProblem]:
    """Returns all problems of a configuration.

    The result depends on the content only, not on the order of keys, so that
    it is the same on all nodes.

    Args:
      configuration: The whole configuration.
      ended_moves: Names of moves in a final state. They stay in the
        configuration as a record and are exempt from the rules on the
        services that they reference.
    """
    problems: list[ValidationProblem] = []
    for name in validation_rules:
        rule = validation_rules.get(name)
        problems.extend(rule(configuration, ended_moves))
    return problems
