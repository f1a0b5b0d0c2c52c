"""Home nodes of idempotency keys, and the keys that this node owns."""

from vanillamast_core.announcement import Announcement
from vanillamast_core.peers import ClaimKey, KeyAnswer, Mesh, SettleKey
from vanillamast_core.requests import KeyLedger, RequestSettings, find_home_node


class KeyService:
    """Finds a key's home node, and decides claims of keys at home here.

    Attributes:
      mesh: Knows the members of services.
      service: Service of the local backend server, "" if none.
      ledger: Keys whose home is this node.
      members: Members of the service that the ledger was last given.
    """

    def __init__(
        self, mesh: Mesh, own: Announcement, settings: RequestSettings
    ):
        self.mesh = mesh
        self.service = own.service
        self.ledger = KeyLedger(settings, own.service, own.instance)
        self.members: list[str] = []

    def refresh(self, now: float) -> None:
        """Updates the ledger with the members of this node's service."""
        if not self.service:
            return
        members = self.mesh.find_home_candidates(self.service)
        if members == self.members:
            return
        # On the first call, all known instances count as earlier members.
        known = {
            a.instance for a in self.mesh.directory.get_known(self.service)
        }
        gone = (set(self.members) or known) - set(members)
        any_lost = any(self._is_lost(instance) for instance in gone)
        self.members = members
        self.ledger.set_members(members, any_lost, now)

    def find_home_node(self, service: str, key: str) -> str:
        """Returns a key's home node as this node sees it, "" if none."""
        return find_home_node(
            service, key, self.mesh.find_home_candidates(service)
        )

    def claim(self, claim: ClaimKey, now: float, wall: float) -> KeyAnswer:
        """Answers a claim of a key whose home is this node."""
        self.refresh(now)
        return self.ledger.claim(claim, now, wall)

    def settle(self, settle: SettleKey, now: float) -> None:
        """Stores the outcome of a claim of a key whose home is this node."""
        self.ledger.settle(settle, now)

    def _is_lost(self, instance: str) -> bool:
        record = self.mesh.directory.records.get(instance)
        return record is None or not record.leaving
