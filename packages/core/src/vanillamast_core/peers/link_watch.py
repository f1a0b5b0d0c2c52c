"""Closing of links that are silent, unnamed or unneeded."""

from vanillamast_core.peers.connector import Connector
from vanillamast_core.peers.link import Link
from vanillamast_core.peers.link_table import LinkTable
from vanillamast_core.peers.local_health import LocalHealth
from vanillamast_core.peers.membership import MembershipProtocol
from vanillamast_core.peers.settings import PeerSettings

MISSED_HEARTBEATS = 1.5  # Silence in heartbeats that means one is missing.


class LinkWatch:
    """Checks all links of a node regularly.

    Attributes:
      settings: Timeouts.
      links: Links of this node.
      connector: Knows which links are needed.
      membership: Takes accusations of silent peers.
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
        """Closes links and returns the closed ones whose peer was named."""
        silent, unneeded = [], []
        for link in list(self.links.by_id.values()):
            quiet = now - link.heard_at
            if not link.instance and quiet >= self.settings.hello_timeout_s:
                self.drop_unnamed(link, now)
            elif quiet >= self.settings.silence_s:
                silent.append(link)
            elif link.dialed is not None and self._is_unneeded(link, now):
                unneeded.append(link)
        for link in unneeded:
            self.links.close(link)
        self._close_silent(silent, now)
        return unneeded + silent

    def drop_unnamed(self, link: Link, now: float) -> None:
        """Closes a link whose peer sent no valid Hello."""
        self.links.close(link)
        if link.dialed is not None:
            self.connector.dial_failed(link.dialed, False, now)

    def _close_silent(self, silent: list[Link], now: float) -> None:
        """Closes silent links and suspects their peers.

        If most links missed a heartbeat, the fault is more likely here. They
        reach the limit at different times, so the first one must count the
        others.
        """
        if silent and self._are_most_quiet(now):
            self.health.impair(now)
        for link in silent:
            self.links.close(link)
            self.connector.lost(link, now)
            gone = link.instance not in self.links.by_instance
            if gone and not self.health.impaired(now):
                self.membership.accuse(link.instance, now)

    def _are_most_quiet(self, now: float) -> bool:
        links = self.links.by_instance.values()
        limit = MISSED_HEARTBEATS * self.settings.heartbeat_s
        quiet = sum(now - link.heard_at >= limit for link in links)
        return 2 * quiet > len(links)

    def _is_unneeded(self, link: Link, now: float) -> bool:
        """Returns whether a dialed link has not been needed for a while."""
        targets = self.connector.targets()
        if link.instance in targets or link.instance in (
            self.connector.on_demand
        ):
            link.unwanted_since = None
        elif link.unwanted_since is None:
            link.unwanted_since = now
        elif now - link.unwanted_since >= self.settings.unwanted_grace_s:
            # Until the targets are linked it may be the only way out.
            return all(name in self.links.by_instance for name in targets)
        return False
