"""What a backend server may say to its node."""

import dataclasses
from typing import Protocol

from vanillamast_sidecar.heartbeat import Heartbeat
from vanillamast_sidecar.http_message import HttpRequest


@dataclasses.dataclass(slots=True, frozen=True)
class Deregistration:
    """A server leaves.

    Attributes:
      id: Id of the server.
      born_ms: Its incarnation; 0 if the server did not say.
    """

    id: str
    born_ms: int


class ServerApi(Protocol):
    """Decodes the calls of backend servers."""

    def decode(self, request: HttpRequest) -> Heartbeat | Deregistration | None:
        """Returns what a call says, None if there is no such call.

        Raises:
          InvalidHeartbeatError: The call's body cannot be used.
        """
        ...
