"""Load balancing policies."""

import abc
import random

from vanillamast_core.registry import Registry
from vanillamast_core.requests.server_view import ServerView


class BalancingPolicy(abc.ABC):
    """Chooses a backend server for one attempt."""

    @abc.abstractmethod
    def choose(
        self, candidates: list[ServerView], rng: random.Random, now: float
    ) -> ServerView:
        """Returns one of the candidates.

        Args:
          candidates: Usable backend servers with a free slot; not empty.
          rng: Random number generator.
          now: Monotonic time in seconds.
        """


balancing_policies: Registry[type[BalancingPolicy]] = Registry(
    "balancing policy"
)


@balancing_policies.register("power_of_two")
class PowerOfTwo(BalancingPolicy):
    """Chooses the less utilized of two random candidates."""

    def choose(
        self, candidates: list[ServerView], rng: random.Random, now: float
    ) -> ServerView:
        """Returns the better scored of two distinct random candidates."""
        count = len(candidates)
        if count == 1:
            return candidates[0]
        first = int(rng.random() * count)
        second = int(rng.random() * (count - 1))
        if second >= first:
            second += 1
        one, other = candidates[first], candidates[second]
        return one if one.score(now) <= other.score(now) else other


@balancing_policies.register("round_robin")
class RoundRobin(BalancingPolicy):
    """Chooses the least recently chosen candidate."""

    def __init__(self) -> None:
        self.sequence = 0

    def choose(
        self, candidates: list[ServerView], rng: random.Random, now: float
    ) -> ServerView:
        """Returns the least recently chosen candidate."""
        self.sequence += 1
        server = min(candidates, key=_last_chosen)
        server.last_chosen = self.sequence
        return server


@balancing_policies.register("least_outstanding")
class LeastOutstanding(BalancingPolicy):
    """Chooses the candidate with the fewest requests in flight."""

    def choose(
        self, candidates: list[ServerView], rng: random.Random, now: float
    ) -> ServerView:
        """Returns a random one of the candidates with the fewest requests."""
        least = min(server.outstanding for server in candidates)
        best = [s for s in candidates if s.outstanding == least]
        return best[int(rng.random() * len(best))]


def _last_chosen(server: ServerView) -> int:
    return server.last_chosen
