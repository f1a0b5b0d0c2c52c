"""Results of commands."""

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
    """A command's result, for people and for programs.

    Attributes:
      data: The result as plain data, for JSON.
      blocks: The result as lines and tables, for people.
      status: Exit status of the command.
    """

    data: Any
    blocks: list[str | Table]
    status: ExitStatus = ExitStatus.DONE
