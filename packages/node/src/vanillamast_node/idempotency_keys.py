"""Claims of idempotency keys, at this node and at others."""

import asyncio
import time

from vanillamast_core.control import KeyService, NodeCore
from vanillamast_core.peers import (
    ClaimKey,
    KeyAnswer,
    KeyState,
    Message,
    SettleKey,
)
from vanillamast_core.requests import RequestSettings

from vanillamast_node.peer_transport import PeerTransport


class IdempotencyKeys:
    """Asks a key's home node, and answers peers for the keys that live here.

    Attributes:
      core: For the name of this instance and the peers' addresses.
      keys: Homes of keys, and the keys whose home is this node.
      transport: Links to peers; set before use.
    """

    def __init__(self, core: NodeCore, settings: RequestSettings):
        self.core = core
        self.keys = KeyService(core.mesh, core.mesh.own, settings)
        self.transport: PeerTransport

    def refresh(self) -> None:
        """Takes note of the members of this node's service."""
        self.keys.refresh(asyncio.get_running_loop().time())

    async def claim(self, claim: ClaimKey) -> KeyAnswer:
        """Claims a key at its home node.

        Raises:
          ConnectionError: The home node did not answer or there is none.
        """
        home = self.keys.find_home_node(claim.service, claim.key)
        if home == self.core.settings.instance:
            return self._answer_claim(claim)
        reply = await self._ask(home, claim)
        if not isinstance(reply, KeyAnswer):
            raise ConnectionError(f"{home}: unexpected {type(reply).__name__}")
        return reply

    async def settle(self, settle: SettleKey) -> None:
        """Tells a key's home node how its request ended.

        Raises:
          ConnectionError: The home node did not answer or there is none.
        """
        home = self.keys.find_home_node(settle.service, settle.key)
        if home == self.core.settings.instance:
            self.keys.settle(settle, asyncio.get_running_loop().time())
            return
        await self._ask(home, settle)

    async def answer(self, message: Message) -> Message:
        """Answers a peer's question about a key."""
        if isinstance(message, ClaimKey):
            return self._answer_claim(message)
        if isinstance(message, SettleKey):
            self.keys.settle(message, asyncio.get_running_loop().time())
        return KeyAnswer(KeyState.UNCLEAR)

    def _answer_claim(self, claim: ClaimKey) -> KeyAnswer:
        now = asyncio.get_running_loop().time()
        return self.keys.claim(claim, now, time.time())

    async def _ask(self, home: str, message: Message) -> Message:
        address = self.core.mesh.find_peer_address(home) if home else None
        if not address:
            raise ConnectionError("no node is the key's home")
        return await self.transport.request(address, message)
