"""Execution context of a command."""

import dataclasses
from collections.abc import Callable

from vanillamast_cli.node_answers import NodeStatus
from vanillamast_cli.node_client import NodeClient
from vanillamast_cli.operator_session import OperatorSession
from vanillamast_cli.report import Report
from vanillamast_cli.settings import CliSettings


@dataclasses.dataclass(slots=True)
class Context:
    """What a command needs to run: client, session, clock and output.

    Attributes:
      client: Client of the nodes' operator interface.
      session: State shared by the commands of one prompt.
      settings: Settings of the command.
      wall_clock: Returns the wall time in seconds.
      print_report: Prints a report.
      print_progress: Prints a line of progress.
    """

    client: NodeClient
    session: OperatorSession
    settings: CliSettings
    wall_clock: Callable[[], float]
    print_report: Callable[[Report], None]
    print_progress: Callable[[str], None]

    async def update_seen_offset(self) -> int:
        """Reads the node's offset before its state is shown.

        The offset is read first, so that a change between this call and the
        next makes a later action conflict; the other order would hide it.

        Returns:
          The offset.
        """
        status = await self.client.get("/v1/status", NodeStatus)
        self.session.seen_offset = status.offset
        return status.offset

    async def get_base_offset(self) -> int:
        """Returns the offset shown last, or the node's current one."""
        return self.session.seen_offset or await self.update_seen_offset()
