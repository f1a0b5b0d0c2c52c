"""The operators' command of vanillamast."""

from vanillamast_cli.errors import (
    CliError,
    InvalidFileError,
    NodeAnswerError,
    NodeRefusedError,
    NodeUnreachableError,
    OperatorSyntaxError,
    OutcomeUnknownError,
    RefusedError,
    UnknownRequestError,
    UsageError,
)
from vanillamast_cli.execution import Executor
from vanillamast_cli.exit_status import ExitStatus
from vanillamast_cli.operator_syntax import parse_command
from vanillamast_cli.rendering import output_formats
from vanillamast_cli.report import Report, Table
from vanillamast_cli.settings import CliSettings
from vanillamast_cli.verb import Verb, verbs

__all__ = [
    "CliError",
    "CliSettings",
    "Executor",
    "ExitStatus",
    "InvalidFileError",
    "NodeAnswerError",
    "NodeRefusedError",
    "NodeUnreachableError",
    "OperatorSyntaxError",
    "OutcomeUnknownError",
    "RefusedError",
    "Report",
    "Table",
    "UnknownRequestError",
    "UsageError",
    "Verb",
    "output_formats",
    "parse_command",
    "verbs",
]
