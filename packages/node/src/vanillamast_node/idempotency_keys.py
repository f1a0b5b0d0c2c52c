"""Claims and settlements of idempotency keys at their home nodes."""

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
    """Sends claims to a key's home node, and handles those of peers.

    Attributes:
      core: Provides this instance's name and the addresses of peers.
      key_service: Finds home nodes, and keeps the keys whose home is this node.
      transport: Links to peers; set before use.
    """

    def __init__(self, core: NodeCore, settings: RequestSettings):
        self.core = core
        self.key_service = KeyService(core.mesh, core.mesh.own, settings)
        self.transport: PeerTransport

    def refresh_members(self) -> None:
        """Updates the members of this node's service."""
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
        """Sends the outcome of a key's request to its home node.

        Raises:
          ConnectionError: The home node did not answer or there is none.
        """
        home_node = self.key_service.find_home_node(settle.service, settle.key)
        if home_node == self.core.settings.instance:
            self.key_service.settle(settle, asyncio.get_running_loop().time())
            return
        await self._request_from_home(home_node, settle)

    async def handle_request(self, message: Message) -> Message:
        """Handles a peer's claim or settlement; returns the reply."""
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
            raise ConnectionError("the key has no reachable home node")
        return await self.transport.request(address, message)
