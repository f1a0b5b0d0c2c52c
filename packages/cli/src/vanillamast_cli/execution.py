"""Runs one command line."""

import time
from collections.abc import Callable
from typing import TextIO

import aiohttp
import msgspec

# Imported because these modules register their verbs.
from vanillamast_cli import (
    follow_verb,  # noqa: F401
    help_verb,  # noqa: F401
    instance_verbs,  # noqa: F401
    log_verbs,  # noqa: F401
    move_verbs,  # noqa: F401
    publish_verbs,  # noqa: F401
    route_verbs,  # noqa: F401
    status_verbs,  # noqa: F401
)
from vanillamast_cli.context import Context
from vanillamast_cli.errors import CliError
from vanillamast_cli.exit_status import ExitStatus
from vanillamast_cli.node_client import NodeClient
from vanillamast_cli.operator_session import OperatorSession
from vanillamast_cli.operator_syntax import parse_command
from vanillamast_cli.rendering import output_formats
from vanillamast_cli.report import Report
from vanillamast_cli.settings import CliSettings
from vanillamast_cli.verb import Verb


class Executor:
    """Runs the lines of one prompt or command line.

    Attributes:
      settings: Settings of the command.
      out: Stream for results.
      err: Stream for errors and progress.
      wall_clock: Returns the wall time in seconds.
      session: State kept between the lines.
      verb: The running command, or the last one.
    """

    def __init__(
        self,
        settings: CliSettings,
        out: TextIO,
        err: TextIO,
        wall_clock: Callable[[], float] = time.time,
    ):
        self.settings = settings
        self.out = out
        self.err = err
        self.wall_clock = wall_clock
        self.session = OperatorSession()
        self.verb: Verb | None = None

    async def execute(self, text: str, line_number: int = 1) -> ExitStatus:
        """Runs a line and prints the result or the error.

        Args:
          text: The line.
          line_number: Its number, for error messages.
        """
        try:
            self.verb = verb = parse_command(text, line_number)
            async with aiohttp.ClientSession() as http:
                client = NodeClient(http, self.settings, self.session)
                context = Context(
                    client,
                    self.session,
                    self.settings,
                    self.wall_clock,
                    self.print_report,
                    self.print_progress,
                )
                report = await verb.run(context)
        except CliError as error:
            self.print_failure(error)
            return error.exit_status
        self.print_report(report)
        return report.status

    def handle_interrupt(self) -> ExitStatus:
        """Returns the exit status of an interrupted command."""
        if self.verb is not None and self.verb.endless:
            return ExitStatus.DONE
        self.err.write(
            "interrupted; a record that was being sent may take effect\n"
        )
        return ExitStatus.OUTCOME_UNKNOWN

    def print_report(self, report: Report) -> None:
        """Prints a report and flushes the stream."""
        text = output_formats.get(self.settings.output)(report)
        self.out.write(text + "\n")
        self.out.flush()

    def print_progress(self, text: str) -> None:
        """Prints a line of progress of a long command."""
        self.err.write(f"{text}\n")
        self.err.flush()

    def print_failure(self, error: CliError) -> None:
        """Prints an error; JSON output also has it on the result stream."""
        self.err.write(f"{error}\n")
        self.err.flush()
        if self.settings.output == "json":
            status = error.exit_status
            data = {"error": type(error).__name__, "detail": str(error)}
            text = msgspec.json.encode({**data, "exit_status": status})
            self.out.write(text.decode() + "\n")
