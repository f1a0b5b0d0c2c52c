"""Keeps the rate of requests to a cold server within its warm-up rate."""

import collections
import math

from vanillamast_sidecar.operator_state.snapshot import WarmUp
from vanillamast_sidecar.settings import Bounds

# The bound holds in every interval of this length.
BOUND_WINDOW_S = 1.0
# Requests that were sent within this time count as sent in one interval:
# those that are slow to arrive, for example on a new connection, get closer to
# the next ones on their way.
WINDOW_S = 1.2
# Share of the bound that is used. The server itself only tolerates the warm-up
# rate, and may count requests that this node does not know of, such as those
# of a process of this node that has just ended.
BOUND_SHARE = 0.8
# Requests that may be sent at once after a pause, in seconds of the rate.
BURST_S = 0.25
# One request at least may always be sent at once.
MIN_BURST = 1.0


class WarmUpLimiter:
    """Limits requests while the server is cold, in two ways.

    A token bucket spreads them at the warm-up rate. A log of the sent requests
    keeps the bound in every interval, whatever the time between the admission
    of a request and its sending, and whatever was sent before the server
    turned cold.

    Attributes:
      bounds: Guarantees of the deployment.
      rate_per_s: Requests a second that a cold server tolerates; None without
        a limit.
      cold_until: When the server has warmed up, in loop time.
      limit_per_s: Rate that limited the server at the last update; None if it
        was warm.
      tokens: Requests that could be sent at once when the bucket was updated.
      updated_at: When that was, in loop time.
      sent: When requests were sent, in loop time, within about `WINDOW_S`.
    """

    def __init__(self, bounds: Bounds):
        self.bounds = bounds
        self.rate_per_s: float | None = None
        self.cold_until = -math.inf
        self.limit_per_s: float | None = None
        self.tokens = 0.0
        self.updated_at = 0.0
        self.sent: collections.deque[float] = collections.deque()

    @property
    def max_in_window(self) -> int:
        """Returns how many requests may be sent in `WINDOW_S`."""
        bound = (
            self.bounds.cold_over * (self.rate_per_s or 0.0) * BOUND_WINDOW_S
            + self.bounds.cold_slack
        )
        # Without this, a server with a very low rate would get no requests.
        return max(1, math.floor(BOUND_SHARE * bound))

    def is_limiting(self, now: float) -> bool:
        """Returns whether the server is cold and its service has a rate."""
        return self.rate_per_s is not None and now < self.cold_until

    def update(
        self, warm_up: WarmUp | None, cold_until: float, now: float
    ) -> bool:
        """Applies the configuration and the server's cold time.

        Args:
          warm_up: How servers of this service warm up; None without a limit.
          cold_until: When the server has warmed up, in loop time.
          now: Loop time, in seconds.

        Returns:
          Whether the limit has begun or ended, or its rate has changed.
        """
        was_limiting = self.is_limiting(now)
        if was_limiting:
            self._update_tokens(now)
        self.rate_per_s = warm_up.rate_per_s if warm_up is not None else None
        self.cold_until = cold_until
        if self.rate_per_s is None:
            self.sent.clear()
        limiting = self.is_limiting(now)
        if limiting and not was_limiting:
            # What the bucket earned while the server was warm does not count.
            self.tokens = 0.0
            self.updated_at = now
        previous_limit = self.limit_per_s
        self.limit_per_s = self.rate_per_s if limiting else None
        return self.limit_per_s != previous_limit

    def may_admit(self, unsent: int, now: float) -> bool:
        """Returns whether a request may be admitted now.

        Args:
          unsent: Number of requests that are admitted and not yet sent.
          now: Loop time, in seconds.
        """
        if not self.is_limiting(now):
            return True
        if self._count_sent(now) + unsent >= self.max_in_window:
            return False
        return self._tokens_at(now) >= 1.0

    def admit(self, now: float) -> None:
        """Takes the token of a request that `may_admit` allows."""
        if self.is_limiting(now):
            self._update_tokens(now)
            self.tokens -= 1.0

    def give_back(self) -> None:
        """Returns the token of a request that was not sent."""
        self.tokens += 1.0

    def may_send(self, now: float) -> bool:
        """Returns whether an admitted request may be sent now.

        False is rare: requests that were admitted before the server turned
        cold can exceed the bound.
        """
        return (
            not self.is_limiting(now)
            or self._count_sent(now) < self.max_in_window
        )

    def record_sent(self, now: float) -> None:
        """Counts a request that is sent, also to a warm server."""
        if self.rate_per_s is not None:
            self._count_sent(now)
            self.sent.append(now)

    def delay_s(self, unsent: int, ahead: int, now: float) -> float:
        """Returns when a request may be admitted, in seconds from now.

        Args:
          unsent: Number of requests that are admitted and not yet sent.
          ahead: Number of requests that are admitted before it.
          now: Loop time, in seconds.
        """
        rate_per_s = self.rate_per_s
        if rate_per_s is None or not self.is_limiting(now):
            return 0.0
        delay_s = (ahead + 1.0 - self._tokens_at(now)) / rate_per_s
        excess = self._count_sent(now) + unsent + 1 - self.max_in_window
        if excess > len(self.sent):
            # Requests that are sent from now on leave the window that late.
            delay_s = max(delay_s, WINDOW_S)
        elif excess > 0:
            delay_s = max(delay_s, self.sent[excess - 1] + WINDOW_S - now)
        # A warm server has no limit.
        return max(0.0, min(delay_s, self.cold_until - now))

    def sent_per_s(self, now: float) -> float:
        """Returns the recent rate of requests, in requests a second."""
        return self._count_sent(now) / WINDOW_S

    def _burst(self) -> float:
        return max(MIN_BURST, BURST_S * (self.rate_per_s or 0.0))

    def _tokens_at(self, now: float) -> float:
        earned = max(0.0, now - self.updated_at) * (self.rate_per_s or 0.0)
        return min(self._burst(), self.tokens + earned)

    def _update_tokens(self, now: float) -> None:
        self.tokens = self._tokens_at(now)
        self.updated_at = now

    def _count_sent(self, now: float) -> int:
        while self.sent and self.sent[0] <= now - WINDOW_S:
            self.sent.popleft()
        return len(self.sent)
