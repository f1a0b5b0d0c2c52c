"""What a command prints."""

import dataclasses
from typing import Any

from vanillamast_cli.exit_status import ExitStatus


@dataclasses.dataclass(slots=True)
class Table:
    """Rows under headings.

    Attributes:
      columns: The headings.
      rows: The cells, as many in each row as there are headings.
    """

    columns: tuple[str, ...]
    rows: list[tuple[Any, ...]]


@dataclasses.dataclass(slots=True)
class Report:
    """A result, for people and for programs.

    Attributes:
      data: The result as plain data, for JSON.
      blocks: The same as lines and tables.
      status: Exit status of the command.
    """

    data: Any
    blocks: list[str | Table]
    status: ExitStatus = ExitStatus.DONE
