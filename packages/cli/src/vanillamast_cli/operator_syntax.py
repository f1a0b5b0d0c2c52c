"""Parser of the operators' language."""

import functools
import importlib.resources
from typing import Any

import lark

from vanillamast_cli.errors import OperatorSyntaxError
from vanillamast_cli.syntax_errors import format_syntax_error
from vanillamast_cli.times import ByTime, InDuration, parse_duration
from vanillamast_cli.verb import Verb, verbs

GRAMMAR_FILE = "operators.lark"
TERMINAL_DESCRIPTIONS = {
    "$END": "the end of the command",
    "DURATION": "a duration such as 30m or 1h30m",
    "FILE": "the name of a file",
    "HELP_TOPIC": "a command",
    "INSTANCE": "an instance",
    "LABEL": "a label",
    "METHOD": "a method such as GET",
    "MOVE_NAME": "the name of a move",
    "ON_DEADLINE": "hold or finish",
    "PATH": "a path that starts with /",
    "RECORD_ID": "the id of a record",
    "REQUEST_ID": "the id of a request",
    "SERVICE": "a service",
    "TIME": "a UTC time such as 14:30 or 2026-12-04T14:30",
    "VERSION": "a backend server version",
}


@functools.cache
def operator_parser() -> lark.Lark:
    """Returns the parser; it is built at the first use."""
    files = importlib.resources.files("vanillamast_cli")
    grammar = (files / GRAMMAR_FILE).read_text()
    return lark.Lark(grammar, parser="lalr", maybe_placeholders=True)


class _VerbBuilder(lark.Transformer):
    """Builds the verb that has the name of the command's rule."""

    def __default__(self, data: Any, children: list[Any], meta: Any) -> Verb:
        return verbs.get(str(data))(*children)

    def __default_token__(self, token: lark.Token) -> str:
        return str(token).strip('"')

    def start(self, children: list[Verb]) -> Verb:
        return children[0]

    def by_time(self, children: list[str]) -> ByTime:
        return ByTime(children[0])

    def in_duration(self, children: list[float]) -> InDuration:
        return InDuration(children[0])

    def log_files(self, children: list[str]) -> tuple[str, ...]:
        return tuple(children)

    def DURATION(self, token: lark.Token) -> float:  # noqa: N802
        return parse_duration(token)

    def METHOD(self, token: lark.Token) -> str:  # noqa: N802
        return token.upper()


def parse_command(text: str, line_number: int = 1) -> Verb:
    """Returns the command in a line.

    Args:
      text: The line.
      line_number: Its number, for error messages.

    Raises:
      OperatorSyntaxError: The line is not a command.
    """
    try:
        return _VerbBuilder().transform(operator_parser().parse(text))
    except lark.UnexpectedInput as error:
        raise OperatorSyntaxError(
            format_syntax_error(text, line_number, error, TERMINAL_DESCRIPTIONS)
        ) from error
