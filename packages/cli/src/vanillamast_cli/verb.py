"""Commands of the operators' language."""

import abc
from typing import ClassVar

from vanillamast_core import Registry

from vanillamast_cli.context import Context
from vanillamast_cli.report import Report


class Verb(abc.ABC):
    """A command with its arguments.

    The fields of a subclass are the arguments, in the order in which the
    grammar's rule of the same name holds them.

    Attributes:
      usage: Form of the command.
      summary: What the command does, in one line.
      example: A command line that uses it.
      endless: Whether the command usually runs until it is interrupted.
    """

    usage: ClassVar[str]
    summary: ClassVar[str]
    example: ClassVar[str]
    endless: ClassVar[bool] = False

    @abc.abstractmethod
    async def run(self, context: Context) -> Report:
        """Runs the command.

        Raises:
          CliError: It failed, or its outcome is unknown.
        """


verbs: Registry[type[Verb]] = Registry("command")
