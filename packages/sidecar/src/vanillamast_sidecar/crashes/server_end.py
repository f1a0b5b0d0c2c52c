"""The unexpected end of a backend server."""

import msgspec


class ServerEnd(msgspec.Struct, array_like=True, frozen=True):
    """A server ended while it ran requests.

    Attributes:
      service: Service of the server.
      version: Version of the server.
      instance_id: Id of the server.
      born_ms: Start of its incarnation, in Unix milliseconds.
      digests: Digests of the requests that it ran, without those that servers
        of this version have answered before.
    """

    service: str
    version: str
    instance_id: str
    born_ms: int
    digests: list[int]
