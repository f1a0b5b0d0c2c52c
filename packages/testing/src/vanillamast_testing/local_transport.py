"""Links between control planes that share one process."""

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
      memory_links: Other end of each link in memory: its transport and link id.
    """

    def __init__(
        self,
        on_link_event: LinkEventHandler,
        on_request: RequestHandler,
        local: dict[str, "LocalTransport"],
    ):
        super().__init__(on_link_event, on_request)
        self.local = local
        self.memory_links: dict[int, tuple[LocalTransport, int]] = {}

    def dial(self, address: str) -> None:
        """Opens a link."""
        other = self.local.get(address)
        if other is None:
            super().dial(address)
            return
        local_id, remote_id = self.allocate_link_id(), other.allocate_link_id()
        self.memory_links[local_id] = other, remote_id
        other.memory_links[remote_id] = self, local_id
        loop = asyncio.get_running_loop()
        loop.call_soon(self.on_link_event, LinkUp(local_id, address))
        loop.call_soon(other.on_link_event, LinkUp(remote_id, None))

    def send(self, link_id: int, message: Message) -> None:
        """Delivers a message; does nothing if the link is down."""
        memory_link = self.memory_links.get(link_id)
        if memory_link is None:
            super().send(link_id, message)
            return
        other, remote_id = memory_link
        event = MessageReceived(remote_id, message)
        asyncio.get_running_loop().call_soon(other.on_link_event, event)

    def close_link(self, link_id: int) -> None:
        """Closes a link."""
        memory_link = self.memory_links.pop(link_id, None)
        if memory_link is None:
            super().close_link(link_id)
            return
        other, remote_id = memory_link
        other.memory_links.pop(remote_id, None)
        loop = asyncio.get_running_loop()
        loop.call_soon(other.on_link_event, LinkDown(remote_id))
