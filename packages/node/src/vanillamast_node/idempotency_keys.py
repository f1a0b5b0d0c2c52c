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
      key_service: Finds home nodes, and keeps the keys whose home is this node.
      transport: Links to peers; set before use.
    """

    def __init__(self, core: NodeCore, settings: RequestSettings):
        self.core = core
        self.key_service = KeyService(core.mesh, core.mesh.own, settings)
        self.transport: PeerTransport

    def refresh_members(self) -> None:
        """Takes note of the members of this node's service."""
        self.key_service.refresh(asyncio.get_running_loop().time())

    async def claim(self, claim: ClaimKey) -> KeyAnswer:
        """Claims a key at its home node.

        Raises:
          ConnectionError: The home node did not answer or there is none.
        """
        home_node = self.key_service.find_home_node(claim.service, claim.key)
        if home_node == self.core.settings.instance:
            return self._claim_locally(claim)
        reply = await self._request_from_home(home_node, claim)
        if not isinstance(reply, KeyAnswer):
            raise ConnectionError(
                f"{home_node}: unexpected {type(reply).__name__}"
            )
        return reply

    async def settle(self, settle: SettleKey) -> None:
        """Tells a key's home node how its request ended.

        Raises:
          ConnectionError: The home node did not answer or there is none.
        """
        home_node = self.key_service.find_home_node(settle.service, settle.key)
        if home_node == self.core.settings.instance:
            self.key_service.settle(settle, asyncio.get_running_loop().time())
            return
        await self._request_from_home(home_node, settle)

    async def handle_request(self, message: Message) -> Message:
        """Answers a peer's question about a key."""
        if isinstance(message, ClaimKey):
            return self._claim_locally(message)
        if isinstance(message, SettleKey):
            self.key_service.settle(message, asyncio.get_running_loop().time())
        return KeyAnswer(KeyState.UNCLEAR)

    def _claim_locally(self, claim: ClaimKey) -> KeyAnswer:
        now = asyncio.get_running_loop().time()
        return self.key_service.claim(claim, now, time.time())

    async def _request_from_home(
        self, home_node: str, message: Message
    ) -> Message:
        address = (
            self.core.mesh.find_peer_address(home_node) if home_node else None
        )
        if not address:
            raise ConnectionError("no node is the key's home")
        return await self.transport.request(address, message)
