"""Chooses the backend server for an attempt."""

import random
from collections.abc import Iterable

from vanillamast_sidecar.move_table import MoveTable
from vanillamast_sidecar.peer import Peer

# If all servers are late or failing, a server in another failure domain is
# chosen only if it is expected to answer this much sooner: requests to it cost
# cross-domain traffic.
CROSS_DOMAIN_PENALTY_S = 0.2
# Servers that fail this share of their requests or more are avoided.
MAX_FAILURE_SHARE = 0.25
# Added to the expected time of a server that fails all its requests, and in
# proportion for others.
FAILURE_PENALTY_S = 1.0
# Servers whose cost is within this much of the lowest share the requests.
TIE_S = 0.002
# Servers compared for a request, drawn at random. If all nodes chose the best
# of all servers, they would overload it before its next load report.
SAMPLED_SERVERS = 2


class ServerSelector:
    """Chooses the server that is expected to answer first.

    Attributes:
      moves: Moves of traffic between server versions.
      rng: Random source for samples and ties.
    """

    def __init__(self, moves: MoveTable, rng: random.Random):
        self.moves = moves
        self.rng = rng

    def choose(
        self,
        peers: Iterable[Peer],
        tried: set[str],
        service: str,
        rank: int,
        same_domain_deadline: float,
        now: float,
    ) -> Peer | None:
        """Returns the node of the best server, None if there is no server.

        Args:
          peers: Nodes whose server serves the service.
          tried: Ids of servers to leave out.
          service: The service.
          rank: Rank of the request among those that wait for a slot.
          same_domain_deadline: When a server should have answered, in loop
            time; other failure domains are used only if no server of this one
            is expected to answer by then.
          now: Loop time, in seconds.
        """
        ready_peers = [
            peer
            for peer in peers
            if peer.record.instance is not None and peer.record.instance.ready
        ]
        wants_new = self.moves.prefers_new(service)
        if wants_new is None:
            groups = [_select_oldest_version(ready_peers)]
        else:
            groups = self._group_by_version(ready_peers, service, wants_new)
        for group in groups:
            best = self._select_best(
                [
                    peer
                    for peer in group
                    if _is_candidate(peer, tried, rank, now)
                ],
                same_domain_deadline,
                now,
            )
            if best is not None:
                return best
        return None

    def _group_by_version(
        self, peers: list[Peer], service: str, wants_new: bool
    ) -> list[list[Peer]]:
        """Returns the servers that may get the request, preferred first.

        Requests beyond the new version's share never go to it. Requests within
        it go to the old version if no new server can take them, as long as the
        old version has a share.
        """
        new: list[Peer] = []
        old: list[Peer] = []
        for peer in peers:
            instance = peer.record.instance
            if instance is not None:
                (new if self.moves.is_new_version(instance) else old).append(
                    peer
                )
        if not wants_new:
            return [old]
        return [new, old] if self.moves.old_has_share(service) else [new]

    def _select_best(
        self, peers: list[Peer], same_domain_deadline: float, now: float
    ) -> Peer | None:
        """Returns the best acceptable server, or the one of the lowest cost.

        A request goes to another failure domain only if no server of this one
        is expected to answer in time.
        """
        acceptable = [
            peer
            for peer in peers
            if _is_acceptable(peer, same_domain_deadline, now)
        ]
        same_domain = [peer for peer in acceptable if peer.same_domain]
        return (
            self._select_untried(same_domain, now)
            or self._select_from_sample(same_domain or acceptable, now)
            or self._select_lowest_cost(peers, now)
        )

    def _select_untried(self, peers: list[Peer], now: float) -> Peer | None:
        """Returns an idle server that this node never used, or None at random.

        The speed of a server is known only after it was used. Among `n`
        servers, an untried one gets about one of `n` requests, so that not all
        nodes send their requests to a new server at once.
        """
        untried = [
            peer
            for peer in peers
            if peer.is_untried(now) and peer.expected_times_s(now)[0] <= 0.0
        ]
        if not untried or self.rng.random() * len(peers) >= len(untried):
            return None
        return self.rng.choice(untried)

    def _select_from_sample(self, peers: list[Peer], now: float) -> Peer | None:
        """Returns the best of a random sample; free servers go first."""
        free = [peer for peer in peers if peer.expected_times_s(now)[0] <= 0.0]
        candidates = free or peers
        if len(candidates) > SAMPLED_SERVERS:
            candidates = self.rng.sample(candidates, SAMPLED_SERVERS)
        return self._select_lowest_cost(candidates, now)

    def _select_lowest_cost(self, peers: list[Peer], now: float) -> Peer | None:
        if not peers:
            return None
        costs = [(estimate_cost_s(peer, now), peer) for peer in peers]
        max_cost = min(cost for cost, _ in costs) + TIE_S
        ties = [peer for cost, peer in costs if cost <= max_cost]
        return ties[0] if len(ties) == 1 else self.rng.choice(ties)


def estimate_cost_s(peer: Peer, now: float) -> float:
    """Returns the expected time to a response plus penalties."""
    wait, duration = peer.expected_times_s(now)
    cost = wait + duration + peer.load.failure_share * FAILURE_PENALTY_S
    return cost if peer.same_domain else cost + CROSS_DOMAIN_PENALTY_S


def _is_acceptable(peer: Peer, deadline: float, now: float) -> bool:
    """Returns whether a server should answer in time and seldom fails."""
    wait, duration = peer.expected_times_s(now)
    return (
        now + wait + duration <= deadline
        and peer.load.failure_share < MAX_FAILURE_SHARE
    )


def _is_candidate(peer: Peer, tried: set[str], rank: int, now: float) -> bool:
    instance = peer.record.instance
    return (
        instance is not None
        and peer.usable
        and instance.id not in tried
        and not peer.is_full_for(rank, now)
    )


def _select_oldest_version(peers: list[Peer]) -> list[Peer]:
    """Returns the servers of the version that started first.

    Servers of a new version may announce themselves before the spec of the
    move that shifts traffic to them is known.
    """
    oldest_born = None
    oldest_version = ""
    mixed = False
    for peer in peers:
        instance = peer.record.instance
        if instance is None:
            continue
        if oldest_born is None:
            oldest_born, oldest_version = instance.born_ms, instance.version
            continue
        mixed = mixed or instance.version != oldest_version
        if instance.born_ms < oldest_born:
            oldest_born, oldest_version = instance.born_ms, instance.version
    if not mixed:
        return peers
    return [
        peer
        for peer in peers
        if peer.record.instance is not None
        and peer.record.instance.version == oldest_version
    ]
