"""Error messages for lines that a lark grammar rejects."""

import re
from collections.abc import Mapping

import lark


def format_syntax_error(
    text: str,
    line_number: int,
    error: lark.UnexpectedInput,
    terminal_descriptions: Mapping[str, str],
) -> str:
    """Returns a message with the error's position and what was expected.

    Args:
      text: The line.
      line_number: Its number.
      error: The parser's exception.
      terminal_descriptions: Descriptions of the terminals that are not
        keywords.
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
    """Returns the tokens that the parser accepts at the error."""
    # The exception lists the terminals of a merged LALR state, some of which
    # the parser would not accept here; `accepts` is exact.
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
