"""Claims of idempotency keys in the in-memory network."""

from typing import TYPE_CHECKING

from vanillamast_core.control import NodeCore
from vanillamast_core.peers import ClaimKey, KeyAnswer, SettleKey
from vanillamast_core.requests import KeyLedger, RequestSettings, key_home

from vanillamast_testing.core_adapter import WALL_START_S

if TYPE_CHECKING:
    from vanillamast_testing.scenario_network import ScenarioNetwork

ASK_TIMEOUT_S = 1.0  # As of the node's peer transport.


class CoreKeyDesk:
    """Does in memory what the node's `KeyDesk` does over sockets.

    Attributes:
      core: For the members of services.
      ledger: Keys whose home is this node.
      members: Members of this node's service at the last look.
    """

    def __init__(
        self,
        network: "ScenarioNetwork",
        core: NodeCore,
        settings: RequestSettings,
    ):
        self.network = network
        self.core = core
        own = core.settings
        self.ledger = KeyLedger(settings, own.service, own.instance)
        self.members: list[str] = []

    def refresh(self) -> None:
        """Tells the ledger the members of this node's service."""
        members = self.core.mesh.home_candidates(self.core.settings.service)
        if members == self.members:
            return
        gone = set(self.members) - set(members)
        vanished = any(self._vanished(instance) for instance in gone)
        self.members = members
        now = self.network.now
        self.ledger.set_members(members, vanished, now, WALL_START_S + now)

    def home(self, service: str, key: str) -> str:
        """Returns a key's home node as this node sees it."""
        members = self.core.mesh.home_candidates(service)
        return key_home(service, key, members)

    def answer_claim(self, claim: ClaimKey) -> KeyAnswer:
        """Answers a claim of a key whose home is this node."""
        self.refresh()
        now = self.network.now
        return self.ledger.claim(claim, now, WALL_START_S + now)

    def settle(self, settle: SettleKey) -> None:
        """Takes the outcome of a claim."""
        self.ledger.settle(settle, self.network.now)

    def _vanished(self, instance: str) -> bool:
        record = self.core.mesh.directory.records.get(instance)
        return record is None or not record.leaving
