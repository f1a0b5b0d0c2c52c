"""Command-line flags of the package's commands.

Each command has its own `FlagValues`, so that one process can import several
commands that define a flag of the same name.
"""

import sys

from absl import flags

USAGE_STATUS = 2


def parse_flags(
    values: flags.FlagValues, argv: list[str], usage: str
) -> list[str]:
    """Parses a command line.

    Args:
      values: The flags of the command.
      argv: The command line, the program's name first.
      usage: What the command does, for `--help`.

    Returns:
      The arguments that are not flags.

    Raises:
      SystemExit: On `--help` (status 0) or a flag that is wrong (status 2).
    """
    if "--help" in argv[1:]:
        sys.stdout.write(f"{usage}\n{values.get_help()}\n")
        raise SystemExit(0)
    try:
        return values(argv)[1:]
    except flags.Error as error:
        sys.stderr.write(f"{error}\n")
        raise SystemExit(USAGE_STATUS) from error
