"""Reads commands line by line."""

import asyncio
from typing import TextIO

from vanillamast_cli.execution import Executor
from vanillamast_cli.exit_status import ExitStatus

PROMPT = "vanillamast> "
END_WORDS = frozenset({"quit", "exit"})


def run_prompt(executor: Executor, source: TextIO) -> ExitStatus:
    """Runs lines until the source ends or an end word is read.

    At a terminal, the prompt continues after an error. Otherwise the lines are
    a script whose later lines may depend on the earlier ones, so it ends at
    the first error.

    Args:
      executor: Runs the lines.
      source: Stream of lines.

    Returns:
      The exit status of the last line that ran.
    """
    interactive = source.isatty()
    status = ExitStatus.DONE
    line_number = 0
    while True:
        if interactive:
            executor.out.write(PROMPT)
            executor.out.flush()
        text = source.readline()
        line_number += 1
        words = text.partition("#")[0].split()
        if not text or (words[:1] and words[0] in END_WORDS):
            return status
        if not words:
            continue
        status = run_line(executor, text.rstrip("\n"), line_number)
        if status is not ExitStatus.DONE and not interactive:
            return status


def run_line(executor: Executor, text: str, line_number: int) -> ExitStatus:
    """Runs one line; an interrupt ends the line but not the prompt."""
    try:
        return asyncio.run(executor.execute(text, line_number))
    except KeyboardInterrupt:
        return executor.handle_interrupt()
