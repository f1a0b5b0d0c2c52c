"""Closing of unresponsive and unneeded links."""

from vanillamast_core.peers.connector import Connector
from vanillamast_core.peers.link import Link
from vanillamast_core.peers.link_table import LinkTable
from vanillamast_core.peers.local_health import LocalHealth
from vanillamast_core.peers.membership_protocol import MembershipProtocol
from vanillamast_core.peers.settings import PeerSettings

# Heartbeat intervals without a message after which a heartbeat is missing.
MISSED_HEARTBEATS = 1.5


class LinkMonitor:
    """Checks all links of a node regularly.

    Attributes:
      settings: Timeouts.
      links: Links of this node.
      connector: Knows the needed links.
      membership: Suspects unresponsive peers.
      health: This node's own health.
    """

    def __init__(
        self,
        settings: PeerSettings,
        links: LinkTable,
        connector: Connector,
        membership: MembershipProtocol,
        health: LocalHealth,
    ):
        self.settings = settings
        self.links = links
        self.connector = connector
        self.membership = membership
        self.health = health

    def check(self, now: float) -> list[Link]:
        """Closes links; returns the closed ones whose peer sent a Hello."""
        unresponsive, unneeded = [], []
        for link in list(self.links.by_id.values()):
            idle_s = now - link.last_received_at
            if not link.instance and idle_s >= self.settings.hello_timeout_s:
                self.drop_without_hello(link, now)
            elif idle_s >= self.settings.silence_s:
                unresponsive.append(link)
            elif link.dialed_address is not None and self._is_unneeded(
                link, now
            ):
                unneeded.append(link)
        for link in unneeded:
            self.links.close(link)
        self._close_unresponsive(unresponsive, now)
        return unneeded + unresponsive

    def drop_without_hello(self, link: Link, now: float) -> None:
        """Closes a link without a valid Hello; its dial has failed."""
        self.links.close(link)
        if link.dialed_address is not None:
            self.connector.handle_dial_failed(link.dialed_address, False, now)

    def _close_unresponsive(self, unresponsive: list[Link], now: float) -> None:
        """Closes unresponsive links and suspects their peers.

        If most links missed a heartbeat, the fault is more likely at this
        node. Links reach the limit at different times, so at the first one
        the others are checked against the shorter limit of a missed
        heartbeat.
        """
        if unresponsive and self._are_most_late(now):
            self.health.mark_impaired(now)
        for link in unresponsive:
            self.links.close(link)
            self.connector.handle_link_lost(link, now)
            unlinked = link.instance not in self.links.by_instance
            if unlinked and not self.health.is_impaired(now):
                self.membership.suspect(link.instance, now)

    def _are_most_late(self, now: float) -> bool:
        links = self.links.by_instance.values()
        limit = MISSED_HEARTBEATS * self.settings.heartbeat_s
        count = sum(now - link.last_received_at >= limit for link in links)
        return 2 * count > len(links)

    def _is_unneeded(self, link: Link, now: float) -> bool:
        """Returns whether a dialed link has not been needed for a while."""
        targets = self.connector.get_targets()
        if link.instance in targets or link.instance in (
            self.connector.on_demand
        ):
            link.unwanted_since = None
        elif link.unwanted_since is None:
            link.unwanted_since = now
        elif now - link.unwanted_since >= self.settings.unwanted_grace_s:
            # Until the targets are linked, it may be the only link.
            return all(name in self.links.by_instance for name in targets)
        return False
