"""What a command works with."""

import dataclasses
from collections.abc import Callable

from vanillamast_cli.node_answers import NodeStatus
from vanillamast_cli.node_client import NodeClient
from vanillamast_cli.operator_session import OperatorSession
from vanillamast_cli.report import Report
from vanillamast_cli.settings import CliSettings


@dataclasses.dataclass(slots=True)
class Context:
    """The mesh, the clock and the printer, as one command sees them.

    Attributes:
      client: Calls the nodes.
      session: What the operator has seen.
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
        """Notes the node's offset before something is shown.

        The offset is read first: a change between this call and the next
        makes an action conflict, where the other order would hide it.

        Returns:
          The offset.
        """
        status = await self.client.get("/v1/status", NodeStatus)
        self.session.seen_offset = status.offset
        return status.offset

    async def get_base_offset(self) -> int:
        """Returns the offset that the operator saw last, or the current."""
        return self.session.seen_offset or await self.update_seen_offset()
