"""Command line of the node, `vanillamastd`."""

import asyncio
import sys

from absl import app, flags

from vanillamast_node.settings_error import SettingsError
from vanillamast_node.settings_file import load_settings

EXIT_OK = 0
EXIT_FAILURE = 1
EXIT_USAGE = 2
USAGE = "usage: vanillamastd [--check] SETTINGS_FILE"

FLAGS = flags.FLAGS
flags.DEFINE_bool("check", False, "Check the settings file and exit.")


def main(argv: list[str]) -> int:
    """Runs a node until it is stopped.

    Returns:
      The exit status: 0 after a planned stop, 1 after a failure, 2 if the
      command line or the settings file is wrong.
    """
    if len(argv) != 2:
        print(USAGE, file=sys.stderr)
        return EXIT_USAGE
    try:
        settings = load_settings(argv[1])
    except SettingsError as error:
        print(f"vanillamastd: {error}", file=sys.stderr)
        return EXIT_USAGE
    if FLAGS.check:
        return EXIT_OK
    # The node's libraries are imported after the check, so that an invalid
    # file is reported at once and before anything is opened.
    from vanillamast_node.node import Node

    try:
        return asyncio.run(Node(settings).run())
    except OSError as error:
        print(f"vanillamastd: {error}", file=sys.stderr)
        return EXIT_FAILURE


def run() -> None:
    """Entry point of the console script."""
    app.run(main, flags_parser=parse_flags)


def parse_flags(argv: list[str]) -> list[str]:
    """Parses flags; exits with a usage error if one is invalid."""
    try:
        return FLAGS(argv)
    except flags.Error as error:
        print(f"vanillamastd: {error}\n{USAGE}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


if __name__ == "__main__":
    run()
