"""Chooses the backend server for an attempt."""

import dataclasses
import random
from collections.abc import Iterable

from vanillamast_sidecar.membership.peer import Peer
from vanillamast_sidecar.operator_state.evacuations import Evacuations
from vanillamast_sidecar.operator_state.snapshot import WarmUp
from vanillamast_sidecar.rollouts.move_table import MoveTable

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


@dataclasses.dataclass(slots=True, frozen=True)
class ServerEstimate:
    """How long a request is expected to take at a server.

    Attributes:
      peer: Node of the server.
      wait_s: Expected wait for a slot.
      duration_s: Expected service time.
    """

    peer: Peer
    wait_s: float
    duration_s: float

    @property
    def is_free(self) -> bool:
        """Returns whether the server should have a free slot."""
        return self.wait_s <= 0.0

    @property
    def cost_s(self) -> float:
        """Returns the expected time to a response plus penalties."""
        cost = self.wait_s + self.duration_s
        cost += self.peer.load.failure_share * FAILURE_PENALTY_S
        return cost if self.peer.same_domain else cost + CROSS_DOMAIN_PENALTY_S

    def is_acceptable(self, deadline: float, now: float) -> bool:
        """Returns whether the server should be in time and seldom fails."""
        return (
            now + self.wait_s + self.duration_s <= deadline
            and self.peer.load.failure_share < MAX_FAILURE_SHARE
        )


def estimate_server(
    peer: Peer, duration_ratio: float, now: float
) -> ServerEstimate:
    """Returns the estimate for a request that is sent now.

    Args:
      peer: Node of the server.
      duration_ratio: Duration of the request, compared with the mean of the
        server's requests.
      now: Loop time, in seconds.
    """
    wait_s, mean_s = peer.expected_times_s(now)
    return ServerEstimate(peer, wait_s, mean_s * duration_ratio)


class ServerSelector:
    """Chooses the server that is expected to answer first.

    Attributes:
      moves: Moves of traffic between server versions.
      rng: Random source for samples and ties.
      evacuations: Failure domains that the operator has evacuated.
      warm_ups: How servers warm up, by service; those of other services have
        no limit while they are cold.
    """

    def __init__(
        self,
        moves: MoveTable,
        rng: random.Random,
        evacuations: Evacuations | None = None,
    ):
        self.moves = moves
        self.rng = rng
        self.evacuations = evacuations or Evacuations()
        self.warm_ups: dict[str, WarmUp] = {}

    def choose(
        self,
        peers: Iterable[Peer],
        tried: set[str],
        service: str,
        rank: int,
        same_domain_deadline: float,
        now: float,
        duration_ratio: float = 1.0,
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
          duration_ratio: Duration of the request, compared with the mean of a
            server's requests.
        """
        for group in self._make_groups(peers, service):
            best = self._select_best(
                [
                    peer
                    for peer in group
                    if _is_candidate(peer, tried, rank, now)
                ],
                same_domain_deadline,
                duration_ratio,
                now,
                service in self.warm_ups,
            )
            if best is not None:
                return best
        return None

    def choose_to_ask(
        self,
        peers: Iterable[Peer],
        excluded: set[str],
        service: str,
        rank: int,
        deadline: float,
        now: float,
        duration_ratio: float = 1.0,
    ) -> Peer | None:
        """Returns a server of this domain that may have a free slot.

        Args:
          peers: Nodes whose server serves the service.
          excluded: Ids of servers to leave out.
          service: The service.
          rank: Rank of the request among those that wait for a slot.
          deadline: When the server should have answered, in loop time.
          now: Loop time, in seconds.
          duration_ratio: Duration of the request, compared with the mean of a
            server's requests.

        Returns:
          None if there is nobody to ask, also while two versions share the
          requests: asking for a slot would change their shares.
        """
        if self.moves.splits_requests(service):
            return None
        near = [peer for peer in peers if peer.same_domain]
        for group in self._make_groups(near, service):
            estimates = [
                estimate_server(peer, duration_ratio, now)
                for peer in group
                if _is_candidate(peer, excluded, rank, now)
            ]
            useful = [
                estimate
                for estimate in estimates
                if dataclasses.replace(estimate, wait_s=0.0).is_acceptable(
                    deadline, now
                )
            ]
            best = self._select_untried(useful, now)
            best = best or self._select_from_sample(useful)
            if best is not None:
                return best
        return None

    def _make_groups(
        self, peers: Iterable[Peer], service: str
    ) -> list[list[Peer]]:
        """Returns the ready servers that may be used, preferred ones first."""
        ready_peers = [
            peer
            for peer in peers
            if peer.record.instance is not None
            and peer.record.instance.ready
            and not self.evacuations.is_evacuated(peer.record.failure_domain)
        ]
        wants_new = self.moves.prefers_new(service)
        if wants_new is None:
            return [_select_oldest_version(ready_peers)]
        return self._group_by_version(ready_peers, service, wants_new)

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
        self,
        peers: list[Peer],
        same_domain_deadline: float,
        duration_ratio: float,
        now: float,
        prefers_warm: bool,
    ) -> Peer | None:
        """Returns the best acceptable server, or the one of the lowest cost.

        A request goes to another failure domain only if no server of this one
        is expected to answer in time. Within a failure domain, a cold server
        with a limit gets it only if no warm one is.
        """
        estimates: list[ServerEstimate] = []
        for same_domain in (True, False):
            found = [
                estimate_server(peer, duration_ratio, now)
                for peer in peers
                if peer.same_domain == same_domain
            ]
            estimates += found
            acceptable = [
                estimate
                for estimate in found
                if estimate.is_acceptable(same_domain_deadline, now)
            ]
            if prefers_warm:
                acceptable = _prefer_warm(acceptable, now)
            best = (
                self._select_untried(acceptable, now) if same_domain else None
            )
            best = best or self._select_from_sample(acceptable)
            if best is not None:
                return best
        return self._select_lowest_cost(estimates)

    def _select_untried(
        self, estimates: list[ServerEstimate], now: float
    ) -> Peer | None:
        """Returns an idle server that this node never used, or None at random.

        The speed of a server is known only after it was used. Among `n`
        servers, an untried one gets about one of `n` requests, so that not all
        nodes send their requests to a new server at once.
        """
        untried = [
            estimate.peer
            for estimate in estimates
            if estimate.is_free and estimate.peer.is_untried(now)
        ]
        if not untried or self.rng.random() * len(estimates) >= len(untried):
            return None
        return self.rng.choice(untried)

    def _select_from_sample(
        self, estimates: list[ServerEstimate]
    ) -> Peer | None:
        """Returns the best of a random sample; free servers go first."""
        free = [estimate for estimate in estimates if estimate.is_free]
        candidates = free or estimates
        if len(candidates) > SAMPLED_SERVERS:
            candidates = self.rng.sample(candidates, SAMPLED_SERVERS)
        return self._select_lowest_cost(candidates)

    def _select_lowest_cost(
        self, estimates: list[ServerEstimate]
    ) -> Peer | None:
        if not estimates:
            return None
        costs = [(estimate.cost_s, estimate.peer) for estimate in estimates]
        max_cost = min(cost for cost, _ in costs) + TIE_S
        ties = [peer for cost, peer in costs if cost <= max_cost]
        return ties[0] if len(ties) == 1 else self.rng.choice(ties)


def _is_candidate(peer: Peer, tried: set[str], rank: int, now: float) -> bool:
    instance = peer.record.instance
    return (
        instance is not None
        and peer.usable
        and instance.id not in tried
        and not peer.is_full_for(rank, now)
    )


def _prefer_warm(
    estimates: list[ServerEstimate], now: float
) -> list[ServerEstimate]:
    """Returns the warm servers, or all if none is warm."""
    warm = [
        estimate for estimate in estimates if now >= estimate.peer.cold_until
    ]
    return warm or estimates


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
