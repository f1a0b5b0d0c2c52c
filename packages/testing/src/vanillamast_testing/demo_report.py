"""Findings of the demo."""

import dataclasses
from typing import Any

import msgspec


@dataclasses.dataclass(slots=True)
class Finding:
    """One line of the demo's table.

    Attributes:
      name: Outcome that was checked.
      value: Measured value.
      wanted: Required value.
      held: Whether the requirement was met.
    """

    name: str
    value: str
    wanted: str
    held: bool


@dataclasses.dataclass(slots=True)
class DemoReport:
    """All findings; the demo succeeds if each held.

    Attributes:
      findings: The lines of the table.
    """

    findings: list[Finding] = dataclasses.field(default_factory=list)

    def add(self, name: str, value: Any, wanted: str, held: bool) -> None:
        """Adds a line."""
        self.findings.append(Finding(name, str(value), wanted, held))

    def held(self) -> bool:
        """Returns whether each outcome held."""
        return bool(self.findings) and all(f.held for f in self.findings)

    def table(self) -> str:
        """Returns the findings as a text table."""
        rows = [("outcome", "measured", "wanted", "")]
        rows += [
            (f.name, f.value, f.wanted, "ok" if f.held else "FAILED")
            for f in self.findings
        ]
        widths = [max(len(row[i]) for row in rows) for i in range(4)]
        return "\n".join(
            "  ".join(
                cell.ljust(w) for cell, w in zip(row, widths, strict=True)
            )
            for row in rows
        )

    def lines(self) -> bytes:
        """Returns the findings as JSON lines."""
        return b"".join(
            msgspec.json.encode(finding) + b"\n" for finding in self.findings
        )
