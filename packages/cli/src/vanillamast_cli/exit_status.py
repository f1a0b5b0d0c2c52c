"""Exit statuses of the operators' command."""

import enum


class ExitStatus(enum.IntEnum):
    """What a script learns from the command's exit status."""

    DONE = 0  # The command did what was asked.
    REFUSED = 1  # The mesh refused it; nothing changed.
    USAGE = 2  # Wrong flag, syntax, name of a file or content of a file.
    UNREACHABLE = 3  # No node answered, or not in a form that can be read.
    OUTCOME_UNKNOWN = 4  # A record may or may not take effect.
