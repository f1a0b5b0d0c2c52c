"""Errors of the operators' command."""

from vanillamast_core import VanillamastError
from vanillamast_core.journal import Outcome

from vanillamast_cli.exit_status import ExitStatus


class CliError(VanillamastError):
    """Base of the errors that end a command.

    Attributes:
      exit_status: Exit status of the command.
    """

    exit_status = ExitStatus.USAGE


class UsageError(CliError):
    """The arguments are invalid, whatever the state of the mesh."""


class OperatorSyntaxError(CliError):
    """A line is not a command of the operators' language."""


class InvalidFileError(CliError):
    """A configuration file is missing, malformed or invalid."""


class UnknownRequestError(CliError):
    """The log files have no line of the request."""


class NodeUnreachableError(CliError):
    """No node answered."""

    exit_status = ExitStatus.UNREACHABLE


class NodeAnswerError(CliError):
    """A node's answer does not have the expected form."""

    exit_status = ExitStatus.UNREACHABLE


class NodeRefusedError(CliError):
    """A node refused a call and gave a reason; nothing changed."""

    exit_status = ExitStatus.REFUSED


class RefusedError(CliError):
    """A record was appended, but refused when the log was applied.

    Attributes:
      outcome: The record's outcome, with the offset of the change that it
        conflicts with.
    """

    exit_status = ExitStatus.REFUSED

    def __init__(self, outcome: Outcome, based_on: int):
        text = f"refused at offset {outcome.offset}: {outcome.reason}"
        if outcome.detail:
            text += f", {outcome.detail}"
        if outcome.winner > based_on:
            text += (
                f"; the change at offset {outcome.winner} came first, this "
                f"one is based on offset {based_on}: look again before you "
                "repeat it"
            )
        super().__init__(text)
        self.outcome = outcome


class OutcomeUnknownError(CliError):
    """A record was sent and its outcome is unknown.

    Attributes:
      id: Id of the record.
    """

    exit_status = ExitStatus.OUTCOME_UNKNOWN

    def __init__(self, record_id: str):
        super().__init__(
            "it is not known whether the record took effect, and it still "
            f"may; ask with: show outcome {record_id}"
        )
        self.id = record_id
