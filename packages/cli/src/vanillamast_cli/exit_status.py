"""Exit statuses of the operators' command."""

import enum


class ExitStatus(enum.IntEnum):
    """Exit status of the command, for scripts."""

    DONE = 0  # The command did what was asked.
    REFUSED = 1  # The mesh refused the command; nothing changed.
    USAGE = 2  # Invalid flag, syntax, file name or file content.
    UNREACHABLE = 3  # No node answered, or the answer is malformed.
    OUTCOME_UNKNOWN = 4  # A record may or may not take effect.
