"""Detects nodes that no longer answer."""

from vanillamast_sidecar.membership.membership import Membership
from vanillamast_sidecar.membership.peer import Peer
from vanillamast_sidecar.mesh.hub import HEARTBEAT_TIMEOUT_S
from vanillamast_sidecar.mesh.link_pool import LinkPool
from vanillamast_sidecar.mesh.peer_link import PeerLink
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics

# A node with calls in flight is pinged after this time without a message, and
# is unresponsive if no message follows for as long again.
PING_TIMEOUT_S = 0.25
# A node that is silent for this long is removed from the membership; it
# announces itself when it returns.
REMOVE_AFTER_S = 90.0


class PeerMonitor:
    """Judges nodes by their connections and by the reports of the hubs.

    Attributes:
      membership: Known nodes.
      links: Connections that this node opened.
      log: Event logger.
      metrics: Metrics.
      silent: Nodes that the hubs do not hear, by address.
    """

    def __init__(
        self,
        membership: Membership,
        links: LinkPool,
        log: EventLogger,
        metrics: Metrics,
    ):
        self.membership = membership
        self.links = links
        self.log = log
        self.metrics = metrics
        self.silent: dict[str, Peer] = {}

    # Connections.

    def check_links(self, max_quiet_s: dict[str, float], now: float) -> None:
        """Pings nodes that owe a message.

        Args:
          max_quiet_s: Time without a message after which a node is pinged
            even without calls in flight, in seconds, by address.
          now: Loop time, in seconds.
        """
        for address, peer in list(self.links.linked.items()):
            link = peer.link
            if link is None or not link.up:
                continue
            quiet_s = now - link.last_received_at
            limit_s = max_quiet_s.get(address)
            if link.pending:
                limit_s = PING_TIMEOUT_S
            if limit_s is not None and quiet_s > limit_s:
                link.ping(now)
            if link.ping_sent_at:
                timed_out = now - link.ping_sent_at > PING_TIMEOUT_S
                self._set_unresponsive(peer, link, timed_out, quiet_s)
            elif peer.unresponsive:
                self._set_unresponsive(peer, link, False, quiet_s)

    def _set_unresponsive(
        self, peer: Peer, link: PeerLink, unresponsive: bool, quiet_s: float
    ) -> None:
        if unresponsive == peer.unresponsive:
            if unresponsive:
                link.give_up_retryable_calls()
            return
        peer.unresponsive = unresponsive
        self._log_change(peer, unresponsive, quiet_s, "connection")
        if unresponsive:
            count = link.give_up_retryable_calls()
            self.log.write(
                "peer.calls_given_up", peer=peer.record.address, calls=count
            )

    def _log_change(
        self, peer: Peer, silent: bool, age_s: float, source: str
    ) -> None:
        if silent:
            self.metrics.count("peer_silences")
        self.log.write(
            "peer.silent" if silent else "peer.heard",
            peer=peer.record.address,
            age_s=round(age_s, 3),
            source=source,
        )

    # Reports of the hubs.

    def apply_unheard(self, unheard: set[str], now: float) -> list[str]:
        """Applies which nodes the hubs do not hear.

        A node that has sent this one a message recently is not silent.

        Returns:
          Addresses of nodes that were silent for so long that they were
          removed.
        """
        for address, peer in list(self.silent.items()):
            age_s = now - peer.last_received_at
            if address not in unheard or age_s < HEARTBEAT_TIMEOUT_S:
                peer.silent_since = None
                del self.silent[address]
                self._log_change(peer, False, age_s, "hub")
        for address in unheard - self.silent.keys():
            found = self.membership.peers.get(address)
            if found is None or found.is_self:
                continue
            age_s = now - found.last_received_at
            if age_s >= HEARTBEAT_TIMEOUT_S:
                found.silent_since = now
                self.silent[address] = found
                self._log_change(found, True, age_s, "hub")
        return self._remove_lost(now)

    def _remove_lost(self, now: float) -> list[str]:
        removed = [
            address
            for address, peer in self.silent.items()
            if peer.silent_since is not None
            and now - peer.silent_since > REMOVE_AFTER_S
        ]
        for address in removed:
            del self.silent[address]
            self.membership.remove(address)
        return removed
