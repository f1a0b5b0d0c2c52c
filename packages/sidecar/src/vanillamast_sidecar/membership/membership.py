"""The nodes that a node knows, by service and by failure domain."""

import zlib

import msgspec

from vanillamast_sidecar.membership.instance_facts import (
    Facts,
    InstanceFacts,
    merge_facts,
)
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.membership.peer import Peer
from vanillamast_sidecar.operator_state.snapshot import WarmUp

# Known nodes: more than three times the design target. Whoever connects may
# name any number of them.
MAX_NODES = 4096
# Longest name or address in a record, in characters.
MAX_NAME = 256


class Membership:
    """Keeps the newest record of each node, and what is certain of servers.

    A record replaces an older one; facts are merged, whichever record they
    come with. Leaving is thus final for an incarnation of a server, also if its
    node has restarted and announces it as ready.

    Attributes:
      own: This node.
      peers: All nodes by address, including this one.
      removed: Incarnation and revision of the removed nodes, by address.
      facts: What is certain of the servers beside other nodes, by address;
        also of nodes that were removed.
      outdated: Addresses of nodes whose newest record lacks facts that this
        node knows.
    """

    def __init__(self, own: NodeRecord):
        self.own = Peer(own, same_domain=True, is_self=True)
        self.peers: dict[str, Peer] = {own.address: self.own}
        self.removed: dict[str, tuple[int, int]] = {}
        self.facts: dict[str, Facts] = {}
        self.outdated: set[str] = set()
        self._changed = True
        self._by_service: dict[str, list[Peer]] = {}
        self._by_domain: dict[str, list[Peer]] = {}
        self._digest = 0

    def set_own(self, record: NodeRecord) -> None:
        """Replaces this node's own record."""
        self.own.record = record
        self._changed = True

    def set_own_cold_until(self, cold_until: float, now: float) -> None:
        """Applies until when this node's own server is cold, in loop time.

        Nodes that connect later get this node's last record, whose cold time
        would begin anew at its arrival.
        """
        own = self.own
        own.cold_until = cold_until
        instance = own.record.instance
        if instance is not None and instance.cold_s > 0.0 and now >= cold_until:
            warm = msgspec.structs.replace(instance, cold_s=0.0)
            own.record = msgspec.structs.replace(own.record, instance=warm)

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
        if _has_long_name(record):
            return None
        stated = record.get_facts()
        facts = self._remember(record.address, stated)
        record = record.with_facts(facts)
        peer = self.peers.get(record.address)
        if peer is None:
            if len(self.peers) >= MAX_NODES:
                return None
            removed = self.removed.get(record.address)
            version = (record.incarnation, record.revision)
            if removed is not None and version <= removed and not direct:
                return None
            self.removed.pop(record.address, None)
            same_domain = (
                record.failure_domain == self.own.record.failure_domain
            )
            peer = Peer(record, same_domain, is_self=False)
            peer.last_received_at = now
            self.peers[record.address] = peer
        elif direct or record.is_newer_than(peer.record):
            peer.record = record
        else:
            return self._add_facts(peer, facts)
        self._note_outdated(record.address, stated != facts)
        if record.instance is not None:
            peer.cold_until = now + record.instance.cold_s
        self._changed = True
        return peer

    def presume_cold(
        self, domain: str, warm_ups: dict[str, WarmUp], now: float
    ) -> None:
        """Counts the other servers of a failure domain as just started.

        Their nodes' next records say how long they are cold.
        """
        for peer in self.peers_by_domain().get(domain, ()):
            instance = peer.record.instance
            if instance is not None and instance.service in warm_ups:
                cold_s = warm_ups[instance.service].cold_s
                peer.cold_until = max(peer.cold_until, now + cold_s)

    def mark_leaving(self, peer: Peer, instance: InstanceRecord) -> None:
        """Takes a server of another node out of use that says that it leaves.

        Args:
          peer: The node.
          instance: The server; its node may have another one by now.
        """
        if peer.is_self:
            return
        leaving = InstanceFacts(instance.id, instance.born_ms, leaving=True)
        facts = self._remember(peer.record.address, (leaving,))
        # Its node has had the same response, unless it has ended since.
        self._add_facts(peer, facts)

    def _remember(self, address: str, facts: Facts) -> Facts:
        """Merges facts with those that are known; returns them all."""
        merged = merge_facts(self.facts.pop(address, ()), facts)
        if merged:
            self.facts[address] = merged
            if len(self.facts) > MAX_NODES:
                self._forget_oldest()
        return merged

    def _forget_oldest(self) -> None:
        """Drops facts, first those on nodes that are not known."""
        oldest = next(iter(self.facts))
        unknown = (name for name in self.facts if name not in self.peers)
        del self.facts[next(unknown, oldest)]

    def _add_facts(self, peer: Peer, facts: Facts) -> Peer | None:
        """Adds facts to a node's record; returns it if they were new.

        The node itself has not stated them.
        """
        record = peer.record.with_facts(facts)
        if record == peer.record:
            return None
        peer.record = record
        self._note_outdated(record.address, True)
        self._changed = True
        return peer

    def _note_outdated(self, address: str, outdated: bool) -> None:
        """Notes whether a node's own record lacks facts."""
        if outdated and address in self.peers:
            self.outdated.add(address)
        else:
            self.outdated.discard(address)

    def remove(self, address: str) -> None:
        """Removes a node until it announces itself again."""
        peer = self.peers.pop(address, None)
        self.outdated.discard(address)
        if peer is not None:
            record = peer.record
            self.removed[address] = (record.incarnation, record.revision)
            if len(self.removed) > MAX_NODES:
                del self.removed[next(iter(self.removed))]
            self._changed = True

    def peers_serving(self, service: str) -> list[Peer]:
        """Returns the nodes whose server belongs to a service."""
        self._update_index()
        return self._by_service.get(service, [])

    def peers_by_domain(self) -> dict[str, list[Peer]]:
        """Returns the nodes of each failure domain, ordered by address."""
        self._update_index()
        return self._by_domain

    def own_domain(self) -> list[Peer]:
        """Returns the nodes of this failure domain, ordered by address."""
        return self.peers_by_domain()[self.own.record.failure_domain]

    def other_peers(self) -> list[Peer]:
        """Returns all nodes but this one."""
        return [peer for peer in self.peers.values() if not peer.is_self]

    def digest(self) -> int:
        """Returns a checksum that is equal for equal sets of records."""
        self._update_index()
        return self._digest

    def _update_index(self) -> None:
        if not self._changed:
            return
        self._changed = False
        by_service: dict[str, list[Peer]] = {}
        by_domain: dict[str, list[Peer]] = {}
        digest = 0
        for address, peer in sorted(self.peers.items()):
            record = peer.record
            by_domain.setdefault(record.failure_domain, []).append(peer)
            if record.instance is not None:
                by_service.setdefault(record.instance.service, []).append(peer)
            version = f"{address} {record.incarnation} {record.revision};"
            digest = zlib.crc32(version.encode(), digest)
        self._by_service = by_service
        self._by_domain = by_domain
        self._digest = digest


def _has_long_name(record: NodeRecord) -> bool:
    names = [record.address, record.failure_domain]
    instance = record.instance
    if instance is not None:
        names += [
            instance.id,
            instance.service,
            instance.version,
            instance.address,
        ]
    names += [facts.id for facts in record.facts]
    return any(len(name) > MAX_NAME for name in names)
