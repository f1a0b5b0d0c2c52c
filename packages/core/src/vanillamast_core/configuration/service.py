"""A service as operators configure it."""

import msgspec


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service and the server version that gets its traffic.

    Attributes:
      version: Server version that gets the traffic outside a move.
      slots: Requests that one backend server runs at once.
      connections: Connections that one backend server accepts.
      retry_ratio: Retries allowed as a share of first attempts.
    """

    version: str
    slots: int = 9
    connections: int = 120
    retry_ratio: float = 0.1
