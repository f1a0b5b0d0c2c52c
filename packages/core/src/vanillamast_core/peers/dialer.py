"""Dialing with exponential backoff and full jitter."""

import random
from collections.abc import Collection

from vanillamast_core.peers.dial_state import DialState
from vanillamast_core.peers.effects import Dial
from vanillamast_core.peers.link_table import LinkTable
from vanillamast_core.peers.settings import PeerSettings

MAX_BACKOFF_EXPONENT = 16  # Keeps the power of two in range before the cap.
STATE_RETENTION_S = 60.0  # For addresses that are no longer wanted.


class Dialer:
    """Dials addresses, each with its own backoff.

    Attributes:
      settings: Backoff and timeouts.
      rng: Source of the jitter.
      links: Links of this node; receives the effects.
      states: State of the dials by address.
    """

    def __init__(
        self, settings: PeerSettings, rng: random.Random, links: LinkTable
    ):
        self.settings = settings
        self.rng = rng
        self.links = links
        self.states: dict[str, DialState] = {}

    def dial(self, address: str, instance: str, now: float) -> None:
        """Dials an address unless a dial is under way or backed off."""
        state = self.states.get(address)
        if state is None:
            start = now + self.rng.random() * self.settings.tick_s
            state = self.states[address] = DialState(start)
        state.expected_instance = instance
        state.last_wanted_at = now
        self._dial_if_due(address, state, now)

    def probe(self, address: str, instance: str, now: float) -> None:
        """Dials an address once, without a delay unless it is backed off."""
        state = self.states.setdefault(address, DialState(now))
        state.expected_instance = instance or state.expected_instance
        state.last_wanted_at = now
        self._dial_if_due(address, state, now)

    def _dial_if_due(self, address: str, state: DialState, now: float) -> None:
        if address in self.links.dialed_addresses:
            return
        if state.dialing_since is None and now >= state.next_at:
            state.dialing_since = now
            self.links.effects.append(Dial(address))

    def handle_connected(self, address: str) -> None:
        """Records that a link came up, whose Hello is still missing."""
        state = self.states.get(address)
        if state is not None:
            state.dialing_since = None

    def handle_hello(self, address: str) -> str:
        """Records a Hello and returns the instance expected at the address."""
        state = self.states.pop(address, None)
        return "" if state is None else state.expected_instance

    def handle_link_lost(self, address: str, instance: str, now: float) -> None:
        """Records the loss of a dialed link, to redial it with jitter."""
        delay = self.rng.random() * self.settings.redial_base_s
        state = DialState(
            now + delay, expected_instance=instance, last_wanted_at=now
        )
        self.states[address] = state

    def record_failure(self, address: str, now: float) -> DialState:
        """Records a failed dial and backs off with full jitter."""
        state = self.states.setdefault(address, DialState(now))
        state.dialing_since = None
        state.failures += 1
        state.last_wanted_at = now
        if state.failing_since is None:
            state.failing_since = now
        state.next_at = now + self.random_backoff(state.failures)
        return state

    def random_backoff(self, failures: int) -> float:
        """Returns a random delay before the next attempt."""
        settings = self.settings
        limit = settings.redial_base_s * 2 ** min(
            failures, MAX_BACKOFF_EXPONENT
        )
        return self.rng.random() * min(settings.redial_cap_s, limit)

    def restart_timers(self, now: float) -> None:
        """Resets the times since which dials fail or are under way."""
        for state in self.states.values():
            state.failing_since = None
            if state.dialing_since is not None:
                state.dialing_since = now

    def restart_failure_timers(self, instances: Collection[str]) -> None:
        """Resets the times since which dials of changed instances fail.

        Otherwise, after a partition, an instance that refuted a suspicion
        would be suspected again because of dials before the refutation.
        """
        for state in self.states.values():
            if state.expected_instance in instances:
                state.failing_since = None

    def take_timed_out(self, now: float) -> list[str]:
        """Returns the addresses whose dial timed out.

        Also removes the state of addresses not wanted for a while.
        """
        timed_out = []
        for address, state in list(self.states.items()):
            since = state.dialing_since
            if since is not None:
                if now - since >= self.settings.dial_timeout_s:
                    timed_out.append(address)
            elif now - state.last_wanted_at > STATE_RETENTION_S:
                del self.states[address]
        return timed_out
