"""A backend server, as its node announces it."""

import msgspec


class InstanceRecord(msgspec.Struct, array_like=True, frozen=True):
    """State of one incarnation of a backend server.

    Attributes:
      id: Id of the server.
      born_ms: Start of the incarnation, in Unix milliseconds.
      sequence: Sequence number of its newest heartbeat.
      service: Service that it belongs to.
      version: Server version.
      slots: Number of requests that it runs at once.
      ready: Whether it accepts new requests.
      leaving: Whether it drains or has deregistered; final for an
        incarnation.
      cold_s: Time from the record's arrival until it has warmed up.
      address: host:port at which its node reaches it.
      rate_limit: Requests a second that it accepts from all nodes together,
        roughly; None without a limit.
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
    rate_limit: float | None = None
