"""Claims of idempotency keys, at this node and at others."""

import asyncio
import time

from vanillamast_core.control import NodeCore
from vanillamast_core.peers import (
    ClaimKey,
    KeyAnswer,
    KeyState,
    Message,
    SettleKey,
)
from vanillamast_core.requests import KeyLedger, RequestSettings, key_home

from vanillamast_node.peer_transport import PeerTransport


class KeyDesk:
    """Asks a key's home node, and answers for the keys that live here.

    Attributes:
      core: For the members of services.
      ledger: Keys whose home is this node.
      transport: Links to peers; set before use.
    """

    def __init__(self, core: NodeCore, settings: RequestSettings):
        self.core = core
        self.ledger = KeyLedger(
            settings, core.settings.service, core.settings.instance
        )
        self.transport: PeerTransport
        self._members: list[str] = []

    def refresh(self) -> None:
        """Tells the ledger the members of this node's service."""
        service = self.core.settings.service
        if not service:
            return
        members = self.core.mesh.home_candidates(service)
        if members == self._members:
            return
        # Before the first call, all instances that the directory knows count.
        known = {a.instance for a in self.core.mesh.directory.known(service)}
        gone = (set(self._members) or known) - set(members)
        vanished = any(self._vanished(instance) for instance in gone)
        self._members = members
        now = asyncio.get_running_loop().time()
        self.ledger.set_members(members, vanished, now)

    async def claim(self, claim: ClaimKey) -> KeyAnswer:
        """Claims a key at its home node.

        Raises:
          ConnectionError: The home node did not answer or there is none.
        """
        home = self._home(claim.service, claim.key)
        if home == self.core.settings.instance:
            return self.answer_claim(claim)
        reply = await self._ask(home, claim)
        if not isinstance(reply, KeyAnswer):
            raise ConnectionError(f"{home}: unexpected {type(reply).__name__}")
        return reply

    async def settle(self, settle: SettleKey) -> None:
        """Tells a key's home node how its request ended.

        Raises:
          ConnectionError: The home node did not answer or there is none.
        """
        home = self._home(settle.service, settle.key)
        if home == self.core.settings.instance:
            self.ledger.settle(settle, asyncio.get_running_loop().time())
            return
        await self._ask(home, settle)

    async def answer(self, message: Message) -> Message:
        """Answers a peer's question about a key."""
        if isinstance(message, ClaimKey):
            return self.answer_claim(message)
        if isinstance(message, SettleKey):
            self.ledger.settle(message, asyncio.get_running_loop().time())
        return KeyAnswer(KeyState.UNCLEAR)

    def answer_claim(self, claim: ClaimKey) -> KeyAnswer:
        """Answers a claim of a key whose home is this node."""
        self.refresh()
        now = asyncio.get_running_loop().time()
        return self.ledger.claim(claim, now, time.time())

    def _home(self, service: str, key: str) -> str:
        members = self.core.mesh.home_candidates(service)
        return key_home(service, key, members)

    async def _ask(self, home: str, message: Message) -> Message:
        address = self.core.mesh.peer_address(home) if home else None
        if not address:
            raise ConnectionError("no node is the key's home")
        return await self.transport.ask(address, message)

    def _vanished(self, instance: str) -> bool:
        record = self.core.mesh.directory.records.get(instance)
        return record is None or not record.leaving
