"""The calls that a backend server makes to its node."""

import dataclasses
from typing import Protocol

from vanillamast_sidecar.http.http_message import HttpRequest
from vanillamast_sidecar.membership.heartbeat import Heartbeat


@dataclasses.dataclass(slots=True, frozen=True)
class Deregistration:
    """A server deregisters.

    Attributes:
      id: Id of the server.
      born_ms: Start of its incarnation, in Unix milliseconds; 0 if unknown.
    """

    id: str
    born_ms: int


class ServerApi(Protocol):
    """Decodes the calls of backend servers."""

    def decode(self, request: HttpRequest) -> Heartbeat | Deregistration | None:
        """Returns the decoded call, None if there is no such call.

        Raises:
          InvalidHeartbeatError: The body cannot be decoded, or has a value that
            no server has.
        """
        ...
