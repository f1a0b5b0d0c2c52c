"""Failures of the operators' command."""

from vanillamast_core import VanillamastError
from vanillamast_core.journal import Outcome

from vanillamast_cli.exit_status import ExitStatus


class CliError(VanillamastError):
    """Base of the failures that end a command.

    Attributes:
      exit_status: Exit status of the command.
    """

    exit_status = ExitStatus.USAGE


class UsageError(CliError):
    """What was asked for makes no sense, whatever the mesh's state."""


class OperatorSyntaxError(CliError):
    """A line is not a command of the operators' language."""


class InvalidFileError(CliError):
    """A configuration file is missing, malformed or invalid."""


class UnknownRequestError(CliError):
    """No line of the log files concerns the request."""


class NodeUnreachableError(CliError):
    """No node answered."""

    exit_status = ExitStatus.UNREACHABLE


class NodeAnswerError(CliError):
    """A node's answer is not in the form that the interface prescribes."""

    exit_status = ExitStatus.UNREACHABLE


class NodeRefusedError(CliError):
    """A node refused a call and says why; nothing changed."""

    exit_status = ExitStatus.REFUSED


class RefusedError(CliError):
    """The fold of the log refused a record.

    Attributes:
      outcome: The outcome, with the offset that won a race.
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
    """A record was sent, and what became of it is not known.

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
