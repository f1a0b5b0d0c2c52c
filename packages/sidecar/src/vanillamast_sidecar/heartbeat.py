"""What a backend server says of itself."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Heartbeat:
    """One heartbeat of a backend server.

    Attributes:
      id: Id of the server.
      born_ms: Start of the incarnation, in Unix milliseconds.
      sequence: Counter within the incarnation.
      service: Service that it serves.
      address: host:port of the server.
      version: Version of its software.
      slots: Requests that it runs at once.
      draining: Whether it is about to leave.
      cold_s: How much longer it is slow after its start, in seconds.
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
