"""Addresses that a node listens on."""

from typing import Annotated

import msgspec

Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]+$")]


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses as "ip:port".

    Attributes:
      callers: Takes requests of callers and of the backend server.
      peers: Takes links of other nodes.
      servers: Takes the backend server's announcements; keep it on loopback.
      operators: Takes operators' queries and commands.
    """

    callers: Address
    peers: Address
    servers: Address
    operators: Address
