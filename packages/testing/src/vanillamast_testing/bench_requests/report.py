"""Prints results as tables and writes them as JSON lines."""

import pathlib
import sys
from collections.abc import Sequence
from typing import Any

import msgspec

PERCENTILES = (50.0, 99.0, 99.9)


def percentile_ms(seconds: Sequence[float], percent: float) -> float:
    """Returns a percentile in milliseconds.

    Args:
      seconds: Samples in seconds; not empty.
      percent: 0 to 100.
    """
    ordered = sorted(seconds)
    rank = min(len(ordered) - 1, int(len(ordered) * percent / 100.0))
    return ordered[rank] * 1000.0


class Report:
    """Reports the results of one run.

    Attributes:
      path: File for the JSON lines; an existing file is emptied.
    """

    def __init__(self, path: pathlib.Path):
        self.path = path
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text("")

    def add_table(self, title: str, rows: list[dict[str, Any]]) -> None:
        """Prints rows with the same columns and appends them to the file."""
        with self.path.open("ab") as file:
            for row in rows:
                line = {"bench": "requests", "table": title, **row}
                file.write(msgspec.json.encode(line) + b"\n")
        names = list(rows[0])
        cells = [
            names,
            *([_format_cell(row[n]) for n in names] for row in rows),
        ]
        widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
        out = [title]
        for line_cells in cells:
            pairs = zip(line_cells, widths, strict=True)
            out.append("  " + "  ".join(c.rjust(w) for c, w in pairs))
        sys.stdout.write("\n".join(out) + "\n\n")
        sys.stdout.flush()


def _format_cell(value: Any) -> str:
    return f"{value:.3f}" if isinstance(value, float) else str(value)
