"""Ejection of backend servers that fail repeatedly."""

import dataclasses
import math

from vanillamast_core.requests.server_view import ServerView
from vanillamast_core.requests.settings import RequestSettings


@dataclasses.dataclass(slots=True)
class OutlierDetector:
    """Ejects failing backend servers, up to a share of each version's.

    Attributes:
      settings: Settings of the request path.
    """

    settings: RequestSettings

    def max_ejected(self, servers: int) -> int:
        """Returns how many of `servers` servers may be ejected at once."""
        if servers < 2:
            return 0
        share = math.floor(self.settings.ejection_share * servers)
        return min(servers - 1, max(1, share))

    def end_excess_ejections(
        self, servers: list[ServerView], now: float
    ) -> None:
        """Ends the ejections that exceed the maximum.

        The maximum falls when other servers of the version disappear.
        """
        ejected = [s for s in servers if s.ejected_until > now]
        ejected.sort(key=_ejection_end)
        excess = max(0, len(ejected) - self.max_ejected(len(servers)))
        for server in ejected[:excess]:
            server.ejected_until = now

    def record_success(self, server: ServerView) -> None:
        """Records a success, which resets the consecutive failures."""
        server.consecutive_failures = 0
        server.ejections = max(0, server.ejections - 1)

    def record_failure(
        self, server: ServerView, peers: list[ServerView], now: float
    ) -> bool:
        """Records a failure.

        Args:
          server: Backend server that failed.
          peers: All backend servers of the same version, itself included.
          now: Monotonic time in seconds.

        Returns:
          Whether the failure ejected the server.
        """
        server.consecutive_failures += 1
        if server.consecutive_failures < self.settings.ejection_failures:
            return False
        if server.ejected_until > now:
            return False
        ejected = sum(1 for peer in peers if peer.ejected_until > now)
        if ejected >= self.max_ejected(len(peers)):
            return False
        duration = self.settings.ejection_s * 2.0 ** min(server.ejections, 16)
        server.ejected_until = now + min(duration, self.settings.ejection_max_s)
        server.ejections += 1
        server.consecutive_failures = 0
        return True


def _ejection_end(server: ServerView) -> float:
    return server.ejected_until
