"""Report of a backend server to its local node."""

from typing import Annotated

import msgspec

from vanillamast_core.server_state import ServerState

ADDRESS_PATTERN = r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$"


class ServerReport(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One renewal of a backend server's lease.

    Attributes:
      address: "ip:port" where the backend server takes requests.
      service: Name of its service.
      version: Version of its program.
      state: State by name, such as "serving".
      slots: Requests that it runs at once.
      connections: Connections that it accepts.
      load: Load as the server reports it, from 0 to 1; may be late or wrong.
    """

    address: Annotated[str, msgspec.Meta(pattern=ADDRESS_PATTERN)]
    service: Annotated[str, msgspec.Meta(min_length=1)]
    version: Annotated[str, msgspec.Meta(min_length=1)]
    state: str = "serving"
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)] = 9
    connections: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 120
    load: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0

    def server_state(self) -> ServerState:
        """Returns the state that the name stands for.

        Raises:
          KeyError: The name is not a state.
        """
        return ServerState[self.state.upper()]
