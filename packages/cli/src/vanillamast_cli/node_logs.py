"""Reads the log files that nodes write."""

import dataclasses
import pathlib
from collections.abc import Callable, Iterator
from typing import Any

import msgspec

from vanillamast_cli.errors import InvalidFileError

PROGRESS_INTERVAL_BYTES = 64 * 1024 * 1024


class _Head(msgspec.Struct):
    t: float
    node: str
    kind: str


@dataclasses.dataclass(slots=True)
class LogLine:
    """One event of a node.

    Attributes:
      time_s: Unix time of the event.
      node: The node that wrote it.
      kind: Kind of the event.
      fields: Its other fields.
    """

    time_s: float
    node: str
    kind: str
    fields: dict[str, Any]

    def format_fields(self) -> str:
        """Formats the other fields as name=value, without empty ones."""
        return " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if value is not None and value != ""
        )

    def to_dict(self) -> dict[str, Any]:
        """Returns the event as plain data."""
        return {
            "t": self.time_s,
            "node": self.node,
            "kind": self.kind,
            **self.fields,
        }


@dataclasses.dataclass(slots=True)
class NodeLogs:
    """Log files of any number of nodes.

    Attributes:
      paths: The files.
      print_progress: Prints a line of progress while long files are read.
      line_count: Number of lines read so far.
      damaged_count: Number of lines that could not be decoded, such as the
        truncated last line of a file.
    """

    paths: tuple[str, ...]
    print_progress: Callable[[str], None]
    line_count: int = 0
    damaged_count: int = 0

    def __iter__(self) -> Iterator[LogLine]:
        """Yields the lines of all files, file by file.

        Raises:
          InvalidFileError: A file cannot be read.
        """
        next_progress = PROGRESS_INTERVAL_BYTES
        bytes_read = 0
        for path in self.paths:
            try:
                with pathlib.Path(path).open("rb") as file:
                    for raw in file:
                        bytes_read += len(raw)
                        if bytes_read >= next_progress:
                            next_progress += PROGRESS_INTERVAL_BYTES
                            self.print_progress(
                                f"{path}: {bytes_read >> 20} MB read"
                            )
                        line = self._parse(raw)
                        if line is not None:
                            yield line
            except OSError as error:
                raise InvalidFileError(f"{path}: {error.strerror}") from error

    def _parse(self, raw: bytes) -> LogLine | None:
        self.line_count += 1
        try:
            head = msgspec.json.decode(raw, type=_Head)
            fields = msgspec.json.decode(raw, type=dict[str, Any])
        except msgspec.DecodeError:
            self.damaged_count += 1
            return None
        for name in ("t", "node", "kind"):
            del fields[name]
        return LogLine(head.t, head.node, head.kind, fields)

    def summarize(self) -> str:
        """Returns how much was read and how much of it was damaged."""
        return (
            f"{self.line_count} lines of {len(self.paths)} files read, "
            f"{self.damaged_count} of them damaged"
        )
