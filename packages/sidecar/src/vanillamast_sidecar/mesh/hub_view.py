"""What the hubs of its failure domain tell a node."""

import dataclasses
import math

from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.peer import Peer
from vanillamast_sidecar.mesh.messages import HubReport, NodeHeartbeat

# Reports older than this do not count: the hub may be cut off itself.
REPORT_LIFETIME_S = 0.6
# What a hub has reported of store readers counts for this long after its last
# report.
READER_LIFETIME_S = 2.0
# Records on their way make digests differ for a short time.
MISMATCHES_BEFORE_FETCH = 2


@dataclasses.dataclass(slots=True)
class HubState:
    """What one hub has reported.

    Attributes:
      names: Addresses by the hub's numbers.
      received_at: When the last report arrived, in loop time.
      silent: Addresses of nodes that the hub reports as silent.
      lost_domains: Failure domains that the hub cannot reach.
      mismatches: Reports in a row whose digest differed from the node's own.
    """

    names: dict[int, str] = dataclasses.field(default_factory=dict)
    received_at: float = -math.inf
    silent: frozenset[str] = frozenset()
    lost_domains: frozenset[str] = frozenset()
    mismatches: int = 0


class HubView:
    """Applies the reports of the hubs.

    A node counts as silent only if every hub that still reports says so: a
    hub may miss heartbeats of a node that does not use it.

    Attributes:
      membership: Known nodes.
      hubs: State of each hub, by address.
      readers: When the store last answered a reader, and when this was
        reported, in loop time, by the address of the reader and of the hub.
    """

    def __init__(self, membership: Membership):
        self.membership = membership
        self.hubs: dict[str, HubState] = {}
        self.readers: dict[str, dict[str, tuple[float, float]]] = {}

    def apply_report(self, address: str, report: HubReport, now: float) -> None:
        """Applies loads, silent nodes and store readers."""
        state = self.hubs.setdefault(address, HubState())
        state.received_at = now
        state.names.update(report.names)
        state.silent = frozenset(report.silent)
        state.lost_domains = frozenset(report.lost_domains)
        peers = self.membership.peers
        for number, load in report.loads:
            peer = peers.get(state.names.get(number, ""))
            if peer is not None and not peer.is_self:
                peer.apply_load_report(load, now)
        self._apply_readers(address, report, now)

    def apply_heartbeat(
        self, peer: Peer, heartbeat: NodeHeartbeat, now: float
    ) -> None:
        """Applies what a node tells this one, as a hub, of its reads."""
        contacts = {}
        if heartbeat.store_age_s is not None:
            contacts[peer.record.address] = now - heartbeat.store_age_s
        own = self.membership.own.record.address
        self._apply_contacts(own, {peer.record.address}, contacts, now)

    def _apply_readers(
        self, hub_address: str, report: HubReport, now: float
    ) -> None:
        contacts = {
            version.address: now - version.store_age_s
            for version in report.versions
            if version.store_age_s is not None
        }
        # A report names all readers: the others have stopped.
        addresses = self.readers.keys() | contacts.keys()
        self._apply_contacts(hub_address, set(addresses), contacts, now)

    def _apply_contacts(
        self,
        hub_address: str,
        addresses: set[str],
        contacts: dict[str, float],
        now: float,
    ) -> None:
        """Replaces what a hub has reported of some readers.

        The newest contact that a hub reports counts. A reader that gives up
        is replaced once all its hubs have reported it.

        Args:
          hub_address: The hub.
          addresses: Nodes that the report is about.
          contacts: When the store last answered those of them that read it,
            in loop time, by address.
          now: Loop time, in seconds.
        """
        for address in addresses:
            peer = self.membership.peers.get(address)
            if peer is None or peer.is_self:
                self.readers.pop(address, None)
                continue
            reports = self.readers.setdefault(address, {})
            reports.pop(hub_address, None)
            if address in contacts:
                reports[hub_address] = (contacts[address], now)
            for hub, (_, reported_at) in list(reports.items()):
                if now - reported_at >= READER_LIFETIME_S:
                    del reports[hub]
            peer.store_contact_at = max(
                (contact_at for contact_at, _ in reports.values()),
                default=None,
            )
            if not reports:
                del self.readers[address]

    def apply_own(
        self, address: str, silent: set[str], lost: list[str], now: float
    ) -> None:
        """Applies what this node itself knows as a hub."""
        state = self.hubs.setdefault(address, HubState())
        state.received_at = now
        state.silent = frozenset(silent)
        state.lost_domains = frozenset(lost)

    def needs_records(self, address: str, digest: int) -> bool:
        """Returns whether the hub's records have differed for a while."""
        state = self.hubs.setdefault(address, HubState())
        if digest == self.membership.digest():
            state.mismatches = 0
            return False
        state.mismatches += 1
        if state.mismatches < MISMATCHES_BEFORE_FETCH:
            return False
        state.mismatches = 0
        return True

    def find_unheard(self, now: float) -> set[str]:
        """Returns the nodes that no reporting hub hears or reaches."""
        states = [
            state
            for state in self.hubs.values()
            if now - state.received_at <= REPORT_LIFETIME_S
        ]
        if not states:
            return set()
        unheard = set(frozenset.intersection(*(s.silent for s in states)))
        lost = frozenset.intersection(*(s.lost_domains for s in states))
        by_domain = self.membership.peers_by_domain()
        for domain in lost:
            unheard.update(
                peer.record.address for peer in by_domain.get(domain, ())
            )
        return unheard
