"""Addresses that a node listens on."""

from typing import Annotated

import msgspec

Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]+$")]


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses as "ip:port".

    Attributes:
      callers: Address for requests of callers and of the local server.
      peers: Address for links of other nodes.
      servers: Address for the local server's announcements; keep it on
        loopback.
      operators: Address for operators' queries and commands.
    """

    callers: Address
    peers: Address
    servers: Address
    operators: Address
