"""Links between control sides that share one process."""

import asyncio

from vanillamast_core.control import LinkDown, LinkUp, MessageReceived
from vanillamast_core.peers import Message
from vanillamast_node.peer_transport import Answer, PeerTransport, Report


class LocalTransport(PeerTransport):
    """Links to nodes of the same process in memory, to others by sockets.

    Attributes:
      local: Transports of the process by address, shared.
      pairs: Other end of each link in memory: its transport and number.
    """

    def __init__(
        self,
        report: Report,
        answer: Answer,
        local: dict[str, "LocalTransport"],
    ):
        super().__init__(report, answer)
        self.local = local
        self.pairs: dict[int, tuple[LocalTransport, int]] = {}

    def dial(self, address: str) -> None:
        """Opens a link."""
        other = self.local.get(address)
        if other is None:
            super().dial(address)
            return
        near, far = self.take_number(), other.take_number()
        self.pairs[near] = other, far
        other.pairs[far] = self, near
        loop = asyncio.get_running_loop()
        loop.call_soon(self.report, LinkUp(near, address))
        loop.call_soon(other.report, LinkUp(far, None))

    def send(self, link: int, message: Message) -> None:
        """Delivers a message; does nothing if the link is down."""
        pair = self.pairs.get(link)
        if pair is None:
            super().send(link, message)
            return
        other, number = pair
        event = MessageReceived(number, message)
        asyncio.get_running_loop().call_soon(other.report, event)

    def close_link(self, link: int) -> None:
        """Closes a link."""
        pair = self.pairs.pop(link, None)
        if pair is None:
            super().close_link(link)
            return
        other, number = pair
        other.pairs.pop(number, None)
        loop = asyncio.get_running_loop()
        loop.call_soon(other.report, LinkDown(number))
