"""Messages about lines that a lark grammar does not accept."""

import re
from collections.abc import Mapping

import lark


def format_syntax_error(
    text: str,
    line_number: int,
    error: lark.UnexpectedInput,
    terminal_descriptions: Mapping[str, str],
) -> str:
    """Returns the place of an error and what was expected there.

    Args:
      text: The line.
      line_number: Its number.
      error: What the parser raised.
      terminal_descriptions: Words for terminals that are no keywords.
    """
    column = max(1, error.column)
    token = getattr(error, "token", None)
    if token is not None and token.type == "$END":
        column = len(text.rstrip()) + 1
    match = re.match(r'"[^"]*"?|\S+', text[column - 1 :])
    found = match[0] if match else "the end"
    return (
        f"line {line_number}, column {column}: found {found}\n"
        f"  {text}\n"
        f"  {' ' * (column - 1)}^\n"
        f"expected {format_expected(error, terminal_descriptions)}"
    )


def format_expected(
    error: lark.UnexpectedInput, terminal_descriptions: Mapping[str, str]
) -> str:
    """Returns what may stand at the place of an error, in words."""
    # The expected terminals of the exception are those of a merged LALR state;
    # what the parser accepts is exact.
    names = set(error.interactive_parser.accepts())
    keywords = sorted(n[1:].lower() for n in names if n.startswith("_"))
    arguments = sorted(
        terminal_descriptions[name]
        for name in names
        if name in terminal_descriptions
    )
    words = keywords + arguments
    if len(words) < 2:
        return "".join(words)
    return ", ".join(words[:-1]) + f" or {words[-1]}"
