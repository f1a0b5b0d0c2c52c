"""Output formats."""

from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from vanillamast_core import Registry

from vanillamast_cli.report import Report, Table

OutputFormat = Callable[[Report], str]
output_formats: Registry[OutputFormat] = Registry("output format")
COLUMN_GAP = "  "


@output_formats.register("table")
def render_text(report: Report) -> str:
    """Returns lines and aligned tables."""
    parts: list[str] = []
    for block in report.blocks:
        if isinstance(block, Table):
            parts.extend(_format_table(block))
        else:
            parts.append(block)
    return "\n".join(parts)


@output_formats.register("json")
def render_json(report: Report) -> str:
    """Returns one JSON value on one line, so that output can be streamed."""
    return msgspec.json.encode(report.data, order="sorted").decode()


def format_cell(value: Any) -> str:
    """Formats a value for a table cell."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, list | tuple):
        return ",".join(map(str, value)) or "-"
    return str(value)


def _format_table(table: Table) -> Iterator[str]:
    rows = [tuple(map(format_cell, row)) for row in table.rows]
    lines = [table.columns, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for line in lines:
        cells = [c.ljust(w) for c, w in zip(line, widths, strict=True)]
        yield COLUMN_GAP.join(cells).rstrip()
