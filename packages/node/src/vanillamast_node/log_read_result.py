"""One answer of the platform's log to a read."""

import dataclasses

from vanillamast_core.journal import LogEntry


@dataclasses.dataclass(slots=True)
class LogReadResult:
    """Entries of the log after an offset.

    Attributes:
      first: Lowest offset that the log still holds.
      next: Offset that the next append gets.
      entries: Entries in the order of their offsets.
    """

    first: int
    next: int
    entries: list[LogEntry]
