"""Parser of the scenario language."""

import dataclasses
import functools
import importlib.resources
from typing import Any

import lark
from vanillamast_cli.syntax_errors import format_syntax_error
from vanillamast_core import UnknownEntryError

# Importing these modules registers their steps.
from vanillamast_testing import (
    scenario_expectations,  # noqa: F401
    scenario_fault_steps,  # noqa: F401
    scenario_fleet_steps,  # noqa: F401
)
from vanillamast_testing.scenario_errors import ScenarioSyntaxError
from vanillamast_testing.scenario_step import Step, steps
from vanillamast_testing.scenario_values import Group

GRAMMAR_FILE = "scenario.lark"
UNIT_S = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0}
ARGUMENT_WORDS = {
    "$END": "the end of the step",
    "COMMA": "a comma",
    "COUNT": "a number",
    "DOMAIN": "a failure domain",
    "DURATION": "a duration such as 500ms, 5s or 2m",
    "FILE": "the name of a file",
    "FINDING": "lost, doubled, cut off, short, missing or untrue",
    "INSTANCE": "an instance",
    "KIND": "a kind of badness",
    "LABEL": "a label",
    "MOVE_NAME": "the name of a move",
    "PATH": "a path that starts with /",
    "PERCENT": "a share such as 20%",
    "RATE": "a rate such as 50/s",
    "SERVICE": "a service",
    "STATE": "a state of a move",
    "VERSION": "a backend server version",
}


@dataclasses.dataclass(frozen=True, slots=True)
class ScenarioLine:
    """A step and its line."""

    number: int
    text: str
    step: Step


@functools.cache
def scenario_parser() -> lark.Lark:
    """Returns the parser of one line; builds it at the first use."""
    files = importlib.resources.files("vanillamast_testing")
    grammar = (files / GRAMMAR_FILE).read_text()
    return lark.Lark(grammar, parser="lalr", maybe_placeholders=True)


class _StepBuilder(lark.Transformer):
    """Turns the rule of a step into the step of the same name."""

    def __default__(self, data: Any, children: list[Any], meta: Any) -> Step:
        return steps.get(str(data))(*children)

    def __default_token__(self, token: lark.Token) -> str:
        return str(token).strip('"')

    def start(self, children: list[Step]) -> Step:
        return children[0]

    def domains(self, children: list[str]) -> tuple[str, ...]:
        return tuple(children)

    def states(self, children: list[str]) -> tuple[str, ...]:
        return tuple(children)

    def instance(self, children: list[str]) -> Group:
        return Group("instance", children[0])

    def domain(self, children: list[str]) -> Group:
        return Group("domain", children[0])

    def share(self, children: list[float]) -> tuple[str, float]:
        return "share", children[0]

    def delay(self, children: list[float]) -> tuple[str, float]:
        return "delay_ms", children[0] * 1000

    def after(self, children: list[float]) -> tuple[str, float]:
        return "after_s", children[0]

    def under_load(self, children: list[Any]) -> tuple[str, bool]:
        return "under_load", True

    def prefix(self, children: list[str]) -> tuple[str, str]:
        return "prefix", children[0]

    def COUNT(self, token: lark.Token) -> int:  # noqa: N802
        return int(token)

    def DURATION(self, token: lark.Token) -> float:  # noqa: N802
        number = token.rstrip("msh")
        return float(number) * UNIT_S[token.removeprefix(number)]

    def PERCENT(self, token: lark.Token) -> float:  # noqa: N802
        return float(token.rstrip("%")) / 100

    def RATE(self, token: lark.Token) -> float:  # noqa: N802
        return float(token.removesuffix("/s"))


def parse_scenario(text: str) -> list[ScenarioLine]:
    """Returns the steps of a scenario.

    Args:
      text: One step a line; empty lines and "#" comments are ignored.

    Raises:
      ScenarioSyntaxError: Names the first line that is no step, the place
        and what was expected there.
    """
    lines = []
    for number, line in enumerate(text.splitlines(), start=1):
        if line.partition("#")[0].strip():
            lines.append(ScenarioLine(number, line, parse_step(line, number)))
    return lines


def parse_step(text: str, number: int = 1) -> Step:
    """Returns the step in a line; raises like `parse_scenario`."""
    try:
        return _StepBuilder().transform(scenario_parser().parse(text))
    except lark.UnexpectedInput as error:
        message = format_syntax_error(text, number, error, ARGUMENT_WORDS)
        raise ScenarioSyntaxError(message) from error
    except UnknownEntryError as error:
        message = f"line {number}: {error}\n  {text}"
        raise ScenarioSyntaxError(message) from error
