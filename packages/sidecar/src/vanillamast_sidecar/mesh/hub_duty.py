"""What a node does as a hub of its failure domain."""

from collections.abc import Iterator

import msgspec

from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.membership.peer import Peer
from vanillamast_sidecar.mesh.frame_codec import make_frame
from vanillamast_sidecar.mesh.hub import Hub
from vanillamast_sidecar.mesh.hub_selector import HUBS_PER_DOMAIN, select_hubs
from vanillamast_sidecar.mesh.hub_view import HubView
from vanillamast_sidecar.mesh.link_pool import LinkPool
from vanillamast_sidecar.mesh.messages import (
    DomainStatus,
    DomainUsage,
    HubReport,
    NodeHeartbeat,
    Records,
)
from vanillamast_sidecar.mesh.peer_server import PeerServer
from vanillamast_sidecar.mesh.record_relay import RecordRelay
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.usage.usage_ledger import UsageLedger
from vanillamast_sidecar.usage.usage_limiter import UsageLimiter

# Interval of the statuses that hubs of different failure domains send each
# other.
STATUS_INTERVAL_S = 2.0
# Every fifth report of a hub has a digest.
REPORTS_PER_DIGEST = 5


class HubDuty:
    """Reports the state of the failure domain and passes messages on.

    Attributes:
      membership: Known nodes.
      links: Connections that this node opened.
      view: What the hubs of the failure domain have reported.
      usage: Admits requests of organisations with a usage cap on this node.
      log: Event logger.
      metrics: Metrics.
      hub: State of the failure domain, from the heartbeats of its nodes.
      ledger: Fleet-wide usage of organisations with a cap.
      relay: Batches the records that this node passes on.
      active: Whether this node acts as a hub.
      subscribers: Connections of the nodes that use this one as a hub.
      domain_hubs: Hubs of the other failure domains, by failure domain.
      ticks: Number of heartbeat intervals since the start.
      reported_silent: Silent nodes in the last status.
      reported_version: Configuration version, offset and era in it.
      status_sent_at: When the last status was sent, in loop time.
    """

    def __init__(
        self,
        membership: Membership,
        links: LinkPool,
        view: HubView,
        usage: UsageLimiter,
        log: EventLogger,
        metrics: Metrics,
    ):
        self.membership = membership
        self.links = links
        self.view = view
        self.usage = usage
        self.log = log
        self.metrics = metrics
        self.hub = Hub(membership)
        self.ledger = UsageLedger(
            membership.own.record.failure_domain, usage.bounds
        )
        self.relay = RecordRelay(self._relay_records)
        self.active = False
        self.subscribers: set[PeerServer] = set()
        self.domain_hubs: dict[str, list[Peer]] = {}
        self.ticks = 0
        self.reported_silent: set[str] = set()
        self.reported_version = (-1, 0, 0)
        self.status_sent_at = 0.0

    def update(self, is_selected: bool, now: float) -> None:
        """Starts or ends the duty and selects the other domains' hubs.

        Args:
          is_selected: Whether this node is among the hubs of its domain. It
            also acts as a hub while other nodes take it for one.
          now: Loop time, in seconds.
        """
        was_active = self.active
        self.active = is_selected or bool(self.subscribers)
        if self.active and not was_active:
            self.hub.reset()
        if was_active and not self.active and self.ledger.organisations:
            self.metrics.set("limited_organisations", 0)
        own_domain = self.membership.own.record.failure_domain
        self.domain_hubs = {
            domain: select_hubs(peers, now)
            for domain, peers in self.membership.peers_by_domain().items()
            if self.active and domain != own_domain
        }

    def other_hubs(self) -> Iterator[Peer]:
        """Yields the hubs of the other failure domains."""
        for peers in self.domain_hubs.values():
            yield from peers

    def work(self, heartbeat: NodeHeartbeat, now: float) -> None:
        """Collects and reports the state of the failure domain.

        Args:
          heartbeat: Heartbeat of this node.
          now: Loop time, in seconds.
        """
        self.ticks += 1
        own = self.membership.own.record.address
        self.hub.handle_heartbeat(own, heartbeat, now)
        silent = self.hub.find_silent(now)
        self._contact_silent_nodes(silent, now)
        unheard = silent | self.hub.find_remote_silent(now)
        lost_domains = self.find_lost_domains()
        self.view.apply_own(own, unheard, lost_domains, now)
        # A node that another hub hears is not silent.
        confirmed = silent & self.view.find_unheard(now)
        self._send_status(confirmed, heartbeat, now)
        self._update_usage(confirmed, lost_domains, now)
        if self.ticks % HUBS_PER_DOMAIN == 0:
            self._send_domain_usage(now)
            self._send_report(unheard, lost_domains, now)

    def _contact_silent_nodes(self, silent: set[str], now: float) -> None:
        """Connects to silent nodes, which may not know of this hub."""
        for address in silent:
            peer = self.membership.peers[address]
            self.links.connect_if_idle(peer, now)

    def find_lost_domains(self) -> list[str]:
        """Returns the failure domains with no reachable hub."""
        by_domain = self.membership.peers_by_domain()
        return sorted(
            domain
            for domain in self.domain_hubs
            if not _is_connected(by_domain[domain])
            and any(
                peer.failed or peer.unresponsive for peer in by_domain[domain]
            )
        )

    def _send_status(
        self, silent: set[str], heartbeat: NodeHeartbeat, now: float
    ) -> None:
        """Reports silent nodes and versions to the other domains' hubs."""
        version = (
            heartbeat.config_version,
            heartbeat.operator_offset,
            heartbeat.operator_era,
        )
        if (
            silent == self.reported_silent
            and version == self.reported_version
            and now - self.status_sent_at < STATUS_INTERVAL_S
        ):
            return
        self.reported_silent = silent
        self.reported_version = version
        self.status_sent_at = now
        status = DomainStatus(
            sorted(silent), self.membership.digest(), *version
        )
        for peer in self.other_hubs():
            if peer.link is not None:
                peer.link.send(status)

    def _update_usage(
        self, silent: set[str], lost_domains: list[str], now: float
    ) -> None:
        """Brings the fleet-wide usage of organisations up to date."""
        ledger = self.ledger
        own = self.membership.own.record
        counts = self.usage.make_counts(own.address, self)
        ledger.handle_counts(own.address, own.incarnation, counts, False, now)
        was_unheard = ledger.unheard
        ledger.update(self.domain_hubs, lost_domains, silent, now)
        if ledger.organisations and ledger.unheard != was_unheard:
            self.log.write(
                "usage.domains_unheard", domains=sorted(ledger.unheard)
            )

    def _send_domain_usage(self, now: float) -> None:
        """Reports the domain's usage to the hubs of the other domains."""
        ledger = self.ledger
        hubs = {peer.record.address: peer.link for peer in self.other_hubs()}
        ledger.changes.retain(set(hubs))
        for address, link in hubs.items():
            if link is not None:
                counts = ledger.make_domain_usage(address, link, now)
                if counts is not None:
                    link.send(DomainUsage(counts))

    def _add_shares(self, report: HubReport, now: float) -> HubReport:
        """Returns a report with the shares of organisations."""
        shares = self.ledger.get_shares(now)
        if shares is None:
            return report
        self.metrics.set("limited_organisations", len(shares.shares))
        return msgspec.structs.replace(report, usage=shares)

    def _send_report(
        self, unheard: set[str], lost_domains: list[str], now: float
    ) -> None:
        for connection in list(self.subscribers):
            if not self.hub.is_heard(connection.peer_address, now):
                self.subscribers.discard(connection)
        reports = self.ticks // HUBS_PER_DOMAIN
        digest = 0
        if reports % REPORTS_PER_DIGEST == 0:
            digest = self.membership.digest()
        report = self.hub.make_report(unheard, lost_domains, digest, now)
        report = self._add_shares(report, now)
        if report.usage is not None:
            self.usage.apply_shares(report.usage, now)
        self.pass_on(make_frame(report), to_domains=False)

    def handle_heartbeat(
        self, connection: PeerServer, heartbeat: NodeHeartbeat, now: float
    ) -> bool:
        """Stores a heartbeat; returns whether the sender is a new subscriber.

        A new subscriber gets a report on all nodes.
        """
        address = connection.peer_address
        self.hub.handle_heartbeat(address, heartbeat, now)
        self.ledger.handle_counts(
            address,
            self.membership.peers[address].record.incarnation,
            heartbeat.usage,
            connection not in self.subscribers,
            now,
        )
        if connection in self.subscribers:
            return False
        self.subscribers.add(connection)
        self.active = True
        silent = self.hub.find_silent(now) | self.hub.find_remote_silent(now)
        report = self.hub.make_first_report(
            silent, self.find_lost_domains(), now
        )
        connection.send(self._add_shares(report, now))
        return True

    def pass_on(
        self,
        frame: bytearray,
        to_domains: bool,
        sender: PeerServer | None = None,
    ) -> None:
        """Sends a frame to the nodes that use this hub, and to other hubs.

        Args:
          frame: The encoded message.
          to_domains: Whether the hubs of other failure domains get it.
          sender: Connection that it came from, which does not get it.
        """
        for connection in self.subscribers:
            if connection is not sender:
                connection.send_frame(frame)
        if to_domains:
            for peer in self.other_hubs():
                if peer.link is not None:
                    peer.link.send_frame(frame)

    def _relay_records(
        self, records: list[NodeRecord], same_domain: bool
    ) -> None:
        if self.active:
            self.pass_on(make_frame(Records(records)), same_domain)


def _is_connected(peers: list[Peer]) -> bool:
    return any(peer.connected and not peer.unresponsive for peer in peers)
