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
      wall: Returns the wall time in seconds.
      write: Prints a report.
      progress: Prints a line of progress.
    """

    client: NodeClient
    session: OperatorSession
    settings: CliSettings
    wall: Callable[[], float]
    write: Callable[[Report], None]
    progress: Callable[[str], None]

    async def look(self) -> int:
        """Notes the node's offset before something is shown.

        The offset is read first: a change between this call and the next
        makes an action conflict, where the other order would hide it.

        Returns:
          The offset.
        """
        status = await self.client.get("/v1/status", NodeStatus)
        self.session.seen_offset = status.offset
        return status.offset

    async def based_on(self) -> int:
        """Returns the offset that the operator saw last, or the current."""
        return self.session.seen_offset or await self.look()
