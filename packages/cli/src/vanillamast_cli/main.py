"""Entry point of the operators' command."""

import sys

from absl import flags

from vanillamast_cli.execution import Executor
from vanillamast_cli.exit_status import ExitStatus
from vanillamast_cli.prompt import run_line, run_prompt
from vanillamast_cli.rendering import output_formats
from vanillamast_cli.settings import CliSettings

USAGE = """Operators' command of vanillamast.

  vanillamast [flags] 'COMMAND'   runs one command
  vanillamast [flags]             reads commands from standard input

"vanillamast help" lists the commands. Exit status: 0 done, 1 refused by the
mesh, 2 usage, syntax or invalid file, 3 node unreachable, 4 outcome unknown.
"""
_DEFAULTS = CliSettings()
FLAGS = flags.FlagValues()
FLAGS.set_gnu_getopt(True)
flags.DEFINE_multi_string(
    "node",
    list(_DEFAULTS.nodes),
    "Operators' address of a node, ip:port; repeated or a comma list, tried "
    "in order.",
    flag_values=FLAGS,
)
flags.DEFINE_enum(
    "output",
    _DEFAULTS.output,
    list(output_formats),
    "Format of the results.",
    flag_values=FLAGS,
)
flags.DEFINE_float(
    "timeout_s",
    _DEFAULTS.timeout_s,
    "Longest wait for an answer, in seconds.",
    lower_bound=0.1,
    flag_values=FLAGS,
)


def settings_from_flags() -> CliSettings:
    """Returns the settings from the command line's flags."""
    nodes = [part.strip() for item in FLAGS.node for part in item.split(",")]
    return CliSettings(
        nodes=tuple(node for node in nodes if node),
        output=FLAGS.output,
        timeout_s=FLAGS.timeout_s,
    )


def join_words(words: list[str]) -> str:
    """Joins the words of a command line to a line of the language.

    A single word is already a line. Several words were split by the shell, so
    words with a space get their quotes back.
    """
    if len(words) == 1:
        return words[0]
    return " ".join(f'"{word}"' if " " in word else word for word in words)


def main(argv: list[str]) -> ExitStatus:
    """Runs the command line and returns its exit status."""
    if "--help" in argv[1:]:
        sys.stdout.write(f"{USAGE}{FLAGS.get_help()}\n")
        return ExitStatus.DONE
    try:
        words = FLAGS(argv)[1:]
    except flags.Error as error:
        sys.stderr.write(f"{error}\n")
        return ExitStatus.USAGE
    settings = settings_from_flags()
    if not settings.nodes:
        sys.stderr.write("--node: no address\n")
        return ExitStatus.USAGE
    executor = Executor(settings, sys.stdout, sys.stderr)
    if not words:
        return run_prompt(executor, sys.stdin)
    return run_line(executor, join_words(words), 1)


def run() -> None:
    """Entry point of the command."""
    sys.exit(main(sys.argv))


if __name__ == "__main__":
    run()
