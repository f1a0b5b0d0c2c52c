"""A node's judgement of its own health."""

import collections

from vanillamast_core.peers.settings import PeerSettings

IMPAIRED_FACTOR = 2.0  # Timeouts are doubled while impaired (Lifeguard).


class LocalHealth:
    """Detects that this node itself, not its peers, is the slow one.

    Attributes:
      settings: Timeouts.
      last_tick: Time of the last tick, None before the first call.
      lag_ms: How late the last tick was.
      impaired_until: Until when the node distrusts its own timers.
      losses: Times at which links were lost lately.
    """

    def __init__(self, settings: PeerSettings):
        self.settings = settings
        self.last_tick: float | None = None
        self.lag_ms = 0
        self.impaired_until = 0.0
        self.losses: collections.deque[float] = collections.deque()

    def observe(self, now: float) -> bool:
        """Checks whether the tick is overdue.

        Called before any other work of a call: a node that resumes after a
        pause may get messages and lost links before its next tick.

        Returns:
          Whether all timers must be restarted.
        """
        if self.last_tick is None:
            self.last_tick = now
            return False
        late = now - self.last_tick - self.settings.tick_s
        if late <= self.settings.late_tick_s:
            return False
        self.last_tick = now
        self.lag_ms = int(late * 1000)
        self.impair(now)
        return True

    def tick(self, now: float) -> None:
        """Records a tick."""
        if self.last_tick is not None and now > self.last_tick:
            late = now - self.last_tick - self.settings.tick_s
            self.lag_ms = max(0, int(late * 1000))
        self.last_tick = now

    def link_lost(self, remaining: int, now: float) -> bool:
        """Records the loss of a link.

        Args:
          remaining: Links that are still up.
          now: The time.

        Returns:
          Whether all timers must be restarted, because more than half of
          the links were lost at once.
        """
        self.losses.append(now)
        window = self.settings.link_loss_window_s
        while now - self.losses[0] > window:
            self.losses.popleft()
        if len(self.losses) <= remaining:
            return False
        self.impair(now)
        return True

    def impair(self, now: float) -> None:
        """Distrusts this node's own timers for a while."""
        self.impaired_until = now + self.settings.impaired_s

    def impaired(self, now: float) -> bool:
        """Returns whether the node distrusts its own timers."""
        return now < self.impaired_until

    def factor(self, now: float) -> float:
        """Returns the factor for timeouts that end in a suspicion."""
        return IMPAIRED_FACTOR if self.impaired(now) else 1.0
