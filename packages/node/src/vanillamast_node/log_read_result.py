"""Result of one read of the platform's log."""

import dataclasses

from vanillamast_core.journal import LogEntry


@dataclasses.dataclass(slots=True)
class LogReadResult:
    """Entries of the log after an offset.

    Attributes:
      first_offset: Lowest offset that the log still holds.
      next_offset: Offset that the next append gets.
      entries: Entries in the order of their offsets.
    """

    first_offset: int
    next_offset: int
    entries: list[LogEntry]
