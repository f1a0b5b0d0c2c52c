"""A call of another node that this node has taken in."""

import asyncio
import dataclasses

from vanillamast_sidecar.admission.server_call import ServerCall


@dataclasses.dataclass(slots=True)
class AdmittedCall:
    """A call until its reply has been sent.

    Attributes:
      id: Id of the call on its connection.
      call: The call.
      charged: What it costs, of the memory account.
      body_bytes: Size of the body that its confirmation may carry.
      task: Runs it; None before that.
      refused: Whether it was refused while it waited.
    """

    id: int
    call: ServerCall
    charged: int
    body_bytes: int
    task: asyncio.Task[None] | None = None
    refused: bool = False

    @property
    def is_waiting(self) -> bool:
        """Returns whether it waits for a slot, and has thus not run."""
        return not self.call.has_slot and not self.refused
