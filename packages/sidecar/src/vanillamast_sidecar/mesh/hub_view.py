"""What the hubs of its failure domain tell a node."""

import dataclasses
import math

from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.mesh.messages import HubReport

# Reports older than this do not count: the hub may be cut off itself.
REPORT_LIFETIME_S = 0.6
# A node that hubs no longer report as a store reader is none after this time;
# above the freshness that readers need to count.
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
      readers: When hubs last reported a node as a store reader, in loop time,
        by address.
    """

    def __init__(self, membership: Membership):
        self.membership = membership
        self.hubs: dict[str, HubState] = {}
        self.readers: dict[str, float] = {}

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
        self._apply_readers(report, now)

    def _apply_readers(self, report: HubReport, now: float) -> None:
        peers = self.membership.peers
        for version in report.versions:
            peer = peers.get(version.address)
            if peer is None or peer.is_self or version.store_age_s is None:
                continue
            contact_at = now - version.store_age_s
            known_at = peer.store_contact_at
            peer.store_contact_at = (
                contact_at if known_at is None else max(known_at, contact_at)
            )
            self.readers[version.address] = now
        for address, reported_at in list(self.readers.items()):
            if now - reported_at >= READER_LIFETIME_S:
                del self.readers[address]
                peer = peers.get(address)
                if peer is not None:
                    peer.store_contact_at = None

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
