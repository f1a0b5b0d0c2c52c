"""Dialing with full jitter."""

import random
from collections.abc import Collection

from vanillamast_core.peers.dial_attempt import DialAttempt
from vanillamast_core.peers.effects import Dial
from vanillamast_core.peers.link_table import LinkTable
from vanillamast_core.peers.settings import PeerSettings

MAX_EXPONENT = 16  # Keeps the power of two in range before the cap applies.
FORGET_S = 60.0  # An address that is no longer wanted is forgotten after this.


class Dialer:
    """Dials addresses, each with its own backoff.

    Attributes:
      settings: Backoff and timeouts.
      rng: Source of the jitter.
      links: Links of this node; receives the effects.
      attempts: Attempts by address.
    """

    def __init__(
        self, settings: PeerSettings, rng: random.Random, links: LinkTable
    ):
        self.settings = settings
        self.rng = rng
        self.links = links
        self.attempts: dict[str, DialAttempt] = {}

    def want(self, address: str, instance: str, now: float) -> None:
        """Dials an address unless a dial is under way or backed off."""
        attempt = self.attempts.get(address)
        if attempt is None:
            start = now + self.rng.random() * self.settings.tick_s
            attempt = self.attempts[address] = DialAttempt(start)
        attempt.instance = instance
        attempt.used_at = now
        self._dial_if_due(address, attempt, now)

    def probe(self, address: str, instance: str, now: float) -> None:
        """Dials an address once, without a delay unless it is backed off."""
        attempt = self.attempts.setdefault(address, DialAttempt(now))
        attempt.instance = instance or attempt.instance
        attempt.used_at = now
        self._dial_if_due(address, attempt, now)

    def _dial_if_due(
        self, address: str, attempt: DialAttempt, now: float
    ) -> None:
        if address in self.links.dialed:
            return
        if attempt.dialing_since is None and now >= attempt.next_at:
            attempt.dialing_since = now
            self.links.out.append(Dial(address))

    def connected(self, address: str) -> None:
        """Records that a dial ended in a link, whose Hello is expected."""
        attempt = self.attempts.get(address)
        if attempt is not None:
            attempt.dialing_since = None

    def reached(self, address: str) -> str:
        """Records a Hello and returns who was expected at the address."""
        attempt = self.attempts.pop(address, None)
        return "" if attempt is None else attempt.instance

    def lost(self, address: str, instance: str, now: float) -> None:
        """Records the loss of a dialed link; redialed with jitter."""
        delay = self.rng.random() * self.settings.redial_base_s
        attempt = DialAttempt(now + delay, instance=instance, used_at=now)
        self.attempts[address] = attempt

    def failed(self, address: str, now: float) -> DialAttempt:
        """Records a failed dial and backs off with full jitter."""
        attempt = self.attempts.setdefault(address, DialAttempt(now))
        attempt.dialing_since = None
        attempt.failures += 1
        attempt.used_at = now
        if attempt.failing_since is None:
            attempt.failing_since = now
        attempt.next_at = now + self.backoff(attempt.failures)
        return attempt

    def backoff(self, failures: int) -> float:
        """Returns a random delay before the next attempt."""
        settings = self.settings
        limit = settings.redial_base_s * 2 ** min(failures, MAX_EXPONENT)
        return self.rng.random() * min(settings.redial_cap_s, limit)

    def restart_timers(self, now: float) -> None:
        """Forgets how long dials have been failing or under way."""
        for attempt in self.attempts.values():
            attempt.failing_since = None
            if attempt.dialing_since is not None:
                attempt.dialing_since = now

    def restart_for(self, instances: Collection[str]) -> None:
        """Forgets how long dials of changed instances have been failing.

        After a partition a refuted instance would otherwise be accused again
        because of a dial from before the refutation.
        """
        for attempt in self.attempts.values():
            if attempt.instance in instances:
                attempt.failing_since = None

    def overdue(self, now: float) -> list[str]:
        """Returns addresses whose dial has no answer in time.

        Also forgets addresses that have not been wanted for a while.
        """
        late = []
        for address, attempt in list(self.attempts.items()):
            since = attempt.dialing_since
            if since is not None:
                if now - since >= self.settings.dial_timeout_s:
                    late.append(address)
            elif now - attempt.used_at > FORGET_S:
                del self.attempts[address]
        return late
