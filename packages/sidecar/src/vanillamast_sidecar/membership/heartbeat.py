"""Heartbeat of a backend server."""

import dataclasses

# Values beyond these belong to no server.
MAX_BORN_MS = 253_402_300_799_999  # End of the year 9999.
MAX_SEQUENCE = 2**53 - 1  # The largest integer that all JSON decoders keep.
MAX_SLOTS = 65_535  # Ports from which one node can connect to a server.


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """One heartbeat of a backend server.

    Attributes:
      id: Id of the server.
      born_ms: Start of the incarnation, in Unix milliseconds.
      sequence: Sequence number within the incarnation.
      service: Service that it belongs to.
      address: host:port of the server.
      version: Server version.
      slots: Number of requests that it runs at once.
      draining: Whether it drains before it stops.
      cold_s: Time until it has warmed up.
    """

    id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    version: str
    slots: int
    draining: bool
    cold_s: float
