"""A backend server, as its node announces it."""

import msgspec


class InstanceRecord(msgspec.Struct, array_like=True, frozen=True):
    """State of one incarnation of a backend server.

    Attributes:
      id: Id of the server.
      born_ms: Start of the incarnation, in Unix milliseconds.
      sequence: Counter of the newest heartbeat.
      service: Service that it serves.
      version: Version of its software.
      slots: Requests that it runs at once.
      ready: Whether it takes new requests.
      leaving: Whether it drains or is gone; never taken back.
      cold_s: How long it stays slow after its start, in seconds, counted
        from the record's arrival.
      address: host:port at which its own machine reaches it.
    """

    id: str
    born_ms: int
    sequence: int
    service: str
    version: str
    slots: int
    ready: bool
    leaving: bool
    cold_s: float
    address: str
