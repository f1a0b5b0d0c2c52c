"""Local health of a node (Lifeguard)."""

import collections

from vanillamast_core.peers.settings import PeerSettings

IMPAIRED_FACTOR = 2.0  # Timeouts are doubled while impaired (Lifeguard).


class LocalHealth:
    """Detects that this node, rather than its peers, is slow or cut off.

    Attributes:
      settings: Timeouts.
      last_tick_at: Time of the last tick, None before the first call.
      lag_ms: Delay of the last tick.
      impaired_until: Time until which the node is impaired.
      recent_losses: Times of link losses in the current window.
    """

    def __init__(self, settings: PeerSettings):
        self.settings = settings
        self.last_tick_at: float | None = None
        self.lag_ms = 0
        self.impaired_until = 0.0
        self.recent_losses: collections.deque[float] = collections.deque()

    def detect_late_tick(self, now: float) -> bool:
        """Marks this node as impaired if its tick is overdue.

        Called first in each call of the mesh: a node that resumes after a
        pause may receive messages and link losses before its next tick.

        Returns:
          Whether all timers must be restarted.
        """
        if self.last_tick_at is None:
            self.last_tick_at = now
            return False
        delay_s = now - self.last_tick_at - self.settings.tick_s
        if delay_s <= self.settings.late_tick_s:
            return False
        self.last_tick_at = now
        self.lag_ms = int(delay_s * 1000)
        self.mark_impaired(now)
        return True

    def record_tick(self, now: float) -> None:
        """Records a tick."""
        if self.last_tick_at is not None and now > self.last_tick_at:
            delay_s = now - self.last_tick_at - self.settings.tick_s
            self.lag_ms = max(0, int(delay_s * 1000))
        self.last_tick_at = now

    def record_link_loss(self, remaining: int, now: float) -> bool:
        """Records the loss of a link.

        Args:
          remaining: Links that are still up.
          now: The time.

        Returns:
          Whether all timers must be restarted, because more than half of
          the links were lost at once.
        """
        self.recent_losses.append(now)
        window = self.settings.link_loss_window_s
        while now - self.recent_losses[0] > window:
            self.recent_losses.popleft()
        if len(self.recent_losses) <= remaining:
            return False
        self.mark_impaired(now)
        return True

    def mark_impaired(self, now: float) -> None:
        """Marks this node as impaired: it distrusts its timers for a while."""
        self.impaired_until = now + self.settings.impaired_s

    def is_impaired(self, now: float) -> bool:
        """Returns whether the node is impaired."""
        return now < self.impaired_until

    def timeout_factor(self, now: float) -> float:
        """Returns the factor for timeouts that end in a suspicion."""
        return IMPAIRED_FACTOR if self.is_impaired(now) else 1.0
