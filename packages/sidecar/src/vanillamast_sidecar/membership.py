"""The nodes that a node knows, also by the service of their server."""

from vanillamast_sidecar.node_record import NodeRecord
from vanillamast_sidecar.peer import Peer


class Membership:
    """Keeps the newest record of each node.

    Attributes:
      own: This node.
      peers: All nodes by address, including this one.
      peers_by_service: Nodes with a server, by the service of that server.
    """

    def __init__(self, own: NodeRecord):
        self.own = Peer(own, same_domain=True, is_self=True)
        self.peers: dict[str, Peer] = {own.address: self.own}
        self.peers_by_service: dict[str, list[Peer]] = {}
        self._rebuild_index()

    def set_own(self, record: NodeRecord) -> None:
        """Replaces this node's own record."""
        self.own.record = record
        self._rebuild_index()

    def apply_record(
        self, record: NodeRecord, direct: bool, now: float
    ) -> Peer | None:
        """Applies a record; returns the peer if it is new or has changed.

        Args:
          record: The record.
          direct: Whether the node itself sent it as the first message of a
            connection; it then replaces the known record even if that one
            looks newer.
          now: Loop time.
        """
        if record.address == self.own.record.address:
            return None
        peer = self.peers.get(record.address)
        if peer is None:
            same_domain = (
                record.failure_domain == self.own.record.failure_domain
            )
            peer = Peer(record, same_domain, is_self=False)
            peer.known_since = now
            peer.last_received_at = now
            self.peers[record.address] = peer
        elif direct or record.is_newer_than(peer.record):
            peer.record = record
        else:
            return None
        if record.instance is not None:
            peer.cold_until = now + record.instance.cold_s
        self._rebuild_index()
        return peer

    def remove(self, address: str) -> None:
        """Removes a node."""
        if self.peers.pop(address, None) is not None:
            self._rebuild_index()

    def peers_serving(self, service: str) -> list[Peer]:
        """Returns the nodes whose server belongs to a service."""
        return self.peers_by_service.get(service, [])

    def other_peers(self) -> list[Peer]:
        """Returns all nodes but this one."""
        return [peer for peer in self.peers.values() if not peer.is_self]

    def _rebuild_index(self) -> None:
        index: dict[str, list[Peer]] = {}
        for peer in self.peers.values():
            instance = peer.record.instance
            if instance is not None:
                index.setdefault(instance.service, []).append(peer)
        self.peers_by_service = index
