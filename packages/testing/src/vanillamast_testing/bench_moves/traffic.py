"""A model of the requests of one service during a move."""

import dataclasses
import math
import random

from vanillamast_core.moves import EvidenceCell, Side

from vanillamast_testing.bench_moves.conditions import (
    Condition,
    Effect,
    RequestGroup,
)
from vanillamast_testing.bench_moves.deployment import Deployment
from vanillamast_testing.bench_moves.sampling import (
    draw_binomial,
    draw_latencies,
    draw_poisson,
    draw_split,
)

BUCKET_S = 2.0
COLD_S = 10.0  # Latencies in a server's first seconds are not recorded.
# Weight of servers in the caller's failure domain; others have weight 1.
SAME_DOMAIN_WEIGHT = 5.0
# Standard deviation of the logarithm of an instance's latency factor.
INSTANCE_LATENCY_SPREAD = 0.05
# Membership takes up to 6 + 4 s to consider an instance dead.
FAILURE_DETECTION_S = 10.0
SERVERS_LOST_AT_S = 60.0
FIRST_RESTART_S = 60.0
RESTART_INTERVAL_S = 12.0
DISTURBANCE_COUNT = 6
DISTURBANCE_LENGTH_S = (6.0, 40.0)


@dataclasses.dataclass(slots=True)
class BucketTotals:
    """Request counts of one bucket.

    Attributes:
      requests: Requests of both versions.
      new_requests: Requests of the new version.
      harmed: Expected number of requests that the failing version failed or
        slowed.
      regression_active: Whether the regression showed in this bucket.
    """

    requests: int = 0
    new_requests: int = 0
    harmed: float = 0.0
    regression_active: bool = False


class TrafficModel:
    """Draws the evidence of each bucket.

    Attributes:
      deployment: The service.
      condition: The condition of the trial.
      rng: Random source of all draws.
      disturbances: Start and end of each disturbance of both versions.
      started_at: Start of each server by side and index, in seconds from the
        start of the move.
      latency_factors: Factor on the latency of each server by side and index.
    """

    def __init__(
        self, deployment: Deployment, condition: Condition, rng: random.Random
    ):
        self.deployment = deployment
        self.condition = condition
        self.rng = rng
        self.disturbances = []
        for _ in range(DISTURBANCE_COUNT):
            start = rng.uniform(0.0, deployment.deadline_s + 100.0)
            length = rng.uniform(*DISTURBANCE_LENGTH_S)
            self.disturbances.append((start, start + length))
        servers = [
            (side, index)
            for side in Side
            for index in range(deployment.servers)
        ]
        self.started_at = {
            key: (-1000.0 if key[0] is Side.OLD else -5.0) for key in servers
        }
        self.latency_factors = {
            key: math.exp(rng.gauss(0.0, INSTANCE_LATENCY_SPREAD))
            for key in servers
        }

    def get_instance_name(self, side: Side, index: int) -> str:
        """Returns the name of a backend server instance."""
        return f"{self.deployment.name}-{'new' if side else 'old'}-{index}"

    def find_dead_instances(self, elapsed_s: float) -> frozenset[str]:
        """Returns the instances that membership considers dead."""
        if elapsed_s < SERVERS_LOST_AT_S + FAILURE_DETECTION_S:
            return frozenset()
        return frozenset(
            self.get_instance_name(side, index)
            for side, index in self.started_at
            if self.is_lost(side, index % self.deployment.domains)
        )

    def is_lost(self, side: Side, domain: int) -> bool:
        """Returns whether the condition makes a server fail."""
        if domain != self.condition.lost_domain:
            return False
        return side is Side.NEW or not self.condition.lost_rack

    def is_disturbed(self, elapsed_s: float) -> bool:
        """Returns whether a disturbance is active."""
        return any(a <= elapsed_s < b for a, b in self.disturbances)

    def restart_servers(self, elapsed_s: float) -> None:
        """Restarts the new version's servers if the condition requires it."""
        if not self.condition.rolling_restart:
            return
        for side, index in self.started_at:
            at = FIRST_RESTART_S + RESTART_INTERVAL_S * index
            if side is Side.NEW and at <= elapsed_s < at + BUCKET_S:
                self.started_at[side, index] = elapsed_s

    def draw_bucket(
        self,
        index: int,
        elapsed_s: float,
        share: float,
        since_full_share_s: float,
    ) -> tuple[list[EvidenceCell], BucketTotals]:
        """Draws the outcomes of one bucket.

        Args:
          index: Bucket number for the cells.
          elapsed_s: Time since the start of the move.
          share: Share of the new version.
          since_full_share_s: Time since share 1 was reached, negative before.

        Returns:
          The cells and the totals.
        """
        self.restart_servers(elapsed_s)
        cells: list[EvidenceCell] = []
        totals = BucketTotals()
        disturbed = self.is_disturbed(elapsed_s)
        base = RequestGroup(
            False, 0, 0, 0, elapsed_s, since_full_share_s, 1e3, 0.0, disturbed
        )
        rate = self.deployment.rate * self.condition.effect(base).rate_factor
        for domain in range(self.deployment.domains):
            if elapsed_s >= SERVERS_LOST_AT_S and self.is_lost(
                Side.OLD, domain
            ):
                continue  # The domain's callers fail with its servers.
            for route, weight in enumerate(self.deployment.routes.values()):
                mean = rate * BUCKET_S * weight / self.deployment.domains
                total = draw_poisson(self.rng, mean)
                new = int(total * share + self.rng.random())
                totals.requests += total
                totals.new_requests += new
                for side, count in ((Side.OLD, total - new), (Side.NEW, new)):
                    if count:
                        group = dataclasses.replace(
                            base,
                            to_new_version=side is Side.NEW,
                            route_index=route,
                            utilization=self.compute_utilization(
                                side, rate, share
                            ),
                        )
                        cells += self.draw_outcomes(
                            index, domain, side, count, group, totals
                        )
        return cells, totals

    def compute_utilization(
        self, side: Side, rate: float, share: float
    ) -> float:
        """Returns the fraction of a version's slots that are busy."""
        fraction = share if side is Side.NEW else 1.0 - share
        return self.deployment.compute_utilization(
            rate * fraction, self.deployment.servers
        )

    def draw_outcomes(
        self,
        bucket: int,
        domain: int,
        side: Side,
        count: int,
        group: RequestGroup,
        totals: BucketTotals,
    ) -> list[EvidenceCell]:
        """Draws the outcomes of one version's requests in a failure domain."""
        dead = self.find_dead_instances(group.elapsed_s)
        weights = []
        for server in range(self.deployment.servers):
            same_domain = server % self.deployment.domains == domain
            usable = self.get_instance_name(side, server) not in dead
            weights.append(
                (SAME_DOMAIN_WEIGHT if same_domain else 1.0) if usable else 0.0
            )
        cells: list[EvidenceCell] = []
        merged = EvidenceCell(
            move=1,
            route=list(self.deployment.routes)[group.route_index],
            failure_domain=f"fd{domain}",
            bucket=bucket,
            side=side,
        )
        for server, requests in enumerate(draw_split(self.rng, count, weights)):
            if not requests:
                continue
            cell = self.draw_server_cell(
                merged, server, requests, group, totals
            )
            cells.append(cell)
        if side is Side.NEW:
            return cells
        for cell in cells:
            merged.requests += cell.requests
            merged.failures += cell.failures
            merged.connect_failures += cell.connect_failures
            for bin_index, n in cell.latency.items():
                merged.latency[bin_index] = merged.latency.get(bin_index, 0) + n
        return [merged]

    def draw_server_cell(
        self,
        template: EvidenceCell,
        server: int,
        requests: int,
        group: RequestGroup,
        totals: BucketTotals,
    ) -> EvidenceCell:
        """Draws the outcomes of the requests to one server."""
        side = template.side
        group.server_index = server
        group.server_domain = server % self.deployment.domains
        group.server_uptime_s = group.elapsed_s - self.started_at[side, server]
        effect = self.condition.effect(group)
        if self.condition.regression and group.to_new_version:
            self.count_harmed(effect, requests, totals)
        lost = group.elapsed_s >= SERVERS_LOST_AT_S and self.is_lost(
            side, group.server_domain
        )
        connect_failed = draw_binomial(
            self.rng, requests, 1.0 if lost else effect.connect_failure_ratio
        )
        probability = self.deployment.failure_ratio + effect.failure_ratio
        failed = draw_binomial(self.rng, requests - connect_failed, probability)
        timed = requests - connect_failed - failed
        if group.server_uptime_s < COLD_S:
            timed = 0
        utilization = min(group.utilization * effect.latency_factor, 0.95)
        median_ms = (
            self.deployment.median_ms
            * effect.latency_factor
            * self.latency_factors[side, server]
            / (1.0 - utilization**2)
        )
        new = side is Side.NEW
        return EvidenceCell(
            move=1,
            route=template.route,
            failure_domain=template.failure_domain,
            bucket=template.bucket,
            side=side,
            instance=self.get_instance_name(side, server) if new else "",
            server_domain=f"fd{group.server_domain}" if new else "",
            requests=requests,
            failures=failed,
            connect_failures=connect_failed,
            latency=draw_latencies(
                self.rng, timed, median_ms, self.deployment.sigma
            ),
        )

    def count_harmed(
        self, effect: Effect, requests: int, totals: BucketTotals
    ) -> None:
        """Adds the expected number of requests that a regression harms."""
        share = effect.failure_ratio + effect.connect_failure_ratio
        if effect.latency_factor > 1.0:
            share = 1.0
        if share > 0.0:
            totals.regression_active = True
            totals.harmed += share * requests
