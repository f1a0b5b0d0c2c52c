"""Links between control sides that share one process."""

import asyncio

from vanillamast_core.control import LinkDown, LinkUp, MessageReceived
from vanillamast_core.peers import Message
from vanillamast_node.peer_transport import (
    LinkEventHandler,
    PeerTransport,
    RequestHandler,
)


class LocalTransport(PeerTransport):
    """Links to nodes of the same process in memory, to others by sockets.

    Attributes:
      local: Transports of the process by address, shared.
      pairs: Other end of each link in memory: its transport and number.
    """

    def __init__(
        self,
        on_link_event: LinkEventHandler,
        on_request: RequestHandler,
        local: dict[str, "LocalTransport"],
    ):
        super().__init__(on_link_event, on_request)
        self.local = local
        self.pairs: dict[int, tuple[LocalTransport, int]] = {}

    def dial(self, address: str) -> None:
        """Opens a link."""
        other = self.local.get(address)
        if other is None:
            super().dial(address)
            return
        near, far = self.allocate_link_id(), other.allocate_link_id()
        self.pairs[near] = other, far
        other.pairs[far] = self, near
        loop = asyncio.get_running_loop()
        loop.call_soon(self.on_link_event, LinkUp(near, address))
        loop.call_soon(other.on_link_event, LinkUp(far, None))

    def send(self, link_id: int, message: Message) -> None:
        """Delivers a message; does nothing if the link is down."""
        pair = self.pairs.get(link_id)
        if pair is None:
            super().send(link_id, message)
            return
        other, number = pair
        event = MessageReceived(number, message)
        asyncio.get_running_loop().call_soon(other.on_link_event, event)

    def close_link(self, link_id: int) -> None:
        """Closes a link."""
        pair = self.pairs.pop(link_id, None)
        if pair is None:
            super().close_link(link_id)
            return
        other, number = pair
        other.pairs.pop(number, None)
        loop = asyncio.get_running_loop()
        loop.call_soon(other.on_link_event, LinkDown(number))
