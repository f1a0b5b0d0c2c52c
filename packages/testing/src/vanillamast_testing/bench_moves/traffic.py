"""A model of the requests of one service during a move."""

import dataclasses
import math
import random

from vanillamast_core.moves import EvidenceCell, Side

from vanillamast_testing.bench_moves.conditions import (
    Condition,
    Effect,
    Situation,
)
from vanillamast_testing.bench_moves.deployment import Deployment
from vanillamast_testing.bench_moves.sampling import (
    draw_binomial,
    draw_latencies,
    draw_poisson,
    draw_split,
)

BUCKET_S = 2.0
COLD_S = 10.0
LOCAL_WEIGHT = 5.0  # Preference for servers of the caller's failure domain.
INSTANCE_SPREAD = 0.05  # Instances differ in latency by about this factor.
DEAD_AFTER_S = 10.0  # Membership takes up to 6 + 4 s.
LOST_AT_S = 60.0
RESTART_EVERY_S = 120.0  # Mean time between restarts of one version.
DISTURBANCES = 6
DISTURBANCE_S = (6.0, 40.0)


@dataclasses.dataclass(slots=True)
class Tally:
    """What happened in one bucket.

    Attributes:
      requests: Requests of both versions.
      new_requests: Requests of the new version.
      harmed: Requests that failed or were slowed by the bad version.
      fault_active: Whether the new version was bad in this bucket.
    """

    requests: int = 0
    new_requests: int = 0
    harmed: float = 0.0
    fault_active: bool = False


class Traffic:
    """Draws the evidence of each bucket.

    Attributes:
      deployment: The service.
      condition: What is wrong, if anything.
      rng: Source of all draws.
      disturbances: Start and end of the disturbances of everything.
      up_since: Start of each server by side and index.
      speed: Factor on the latency by side and index.
    """

    def __init__(
        self, deployment: Deployment, condition: Condition, rng: random.Random
    ):
        self.deployment = deployment
        self.condition = condition
        self.rng = rng
        self.disturbances = []
        for _ in range(DISTURBANCES):
            start = rng.uniform(0.0, deployment.deadline_s + 100.0)
            length = rng.uniform(*DISTURBANCE_S)
            self.disturbances.append((start, start + length))
        servers = [
            (side, index)
            for side in Side
            for index in range(deployment.servers)
        ]
        self.up_since = {
            key: (-1000.0 if key[0] is Side.OLD else -5.0) for key in servers
        }
        self.speed = {
            key: math.exp(rng.gauss(0.0, INSTANCE_SPREAD)) for key in servers
        }

    def instance(self, side: Side, index: int) -> str:
        """Returns the name of a backend server instance."""
        return f"{self.deployment.name}-{'new' if side else 'old'}-{index}"

    def dead(self, elapsed: float) -> frozenset[str]:
        """Returns the instances that membership considers dead."""
        lost = self.condition.lost_domain
        if lost is None or elapsed < LOST_AT_S + DEAD_AFTER_S:
            return frozenset()
        return frozenset(
            self.instance(side, index)
            for side in Side
            for index in range(self.deployment.servers)
            if index % self.deployment.domains == lost
        )

    def disturbed(self, elapsed: float) -> bool:
        """Returns whether a disturbance is going on."""
        return any(a <= elapsed < b for a, b in self.disturbances)

    def restart_some(self, elapsed: float) -> None:
        """Restarts a server now and then if the condition asks for it."""
        if self.condition.name != "good_cold_starts":
            return
        if self.rng.random() < BUCKET_S / RESTART_EVERY_S:
            self.up_since[self.rng.choice(list(self.up_since))] = elapsed

    def bucket(
        self, index: int, elapsed: float, share: float, since_done: float
    ) -> tuple[list[EvidenceCell], Tally]:
        """Draws the outcomes of one bucket.

        Args:
          index: Bucket number for the cells.
          elapsed: Time since the start of the move in seconds.
          share: Share of the new version.
          since_done: Time since share 1, negative before.

        Returns:
          The cells and the totals.
        """
        self.restart_some(elapsed)
        cells: list[EvidenceCell] = []
        tally = Tally()
        disturbed = self.disturbed(elapsed)
        base = Situation(
            False, 0, 0, 0, elapsed, since_done, 1e3, 0.0, disturbed
        )
        rate = self.deployment.rate * self.condition.effect(base).load
        for domain in range(self.deployment.domains):
            lost = self.condition.lost_domain
            if domain == lost and elapsed >= LOST_AT_S:
                continue  # Its callers vanish with its servers.
            for route, weight in enumerate(self.deployment.routes.values()):
                mean = rate * BUCKET_S * weight / self.deployment.domains
                total = draw_poisson(self.rng, mean)
                new = int(total * share + self.rng.random())
                tally.requests += total
                tally.new_requests += new
                for side, count in ((Side.OLD, total - new), (Side.NEW, new)):
                    if count:
                        where = dataclasses.replace(
                            base,
                            new=side is Side.NEW,
                            route=route,
                            utilization=self.utilization(side, rate, share),
                        )
                        cells += self.outcomes(
                            index, domain, side, count, where, tally
                        )
        return cells, tally

    def utilization(self, side: Side, rate: float, share: float) -> float:
        """Returns how busy a version is."""
        part = share if side is Side.NEW else 1.0 - share
        return self.deployment.utilization(rate * part, self.deployment.servers)

    def outcomes(
        self,
        bucket: int,
        domain: int,
        side: Side,
        count: int,
        where: Situation,
        tally: Tally,
    ) -> list[EvidenceCell]:
        """Draws the outcomes of one version's requests."""
        dead = self.dead(where.elapsed_s)
        weights = []
        for server in range(self.deployment.servers):
            local = server % self.deployment.domains == domain
            usable = self.instance(side, server) not in dead
            weights.append((LOCAL_WEIGHT if local else 1.0) if usable else 0.0)
        cells: list[EvidenceCell] = []
        merged = EvidenceCell(
            move=1,
            route=list(self.deployment.routes)[where.route],
            failure_domain=f"fd{domain}",
            bucket=bucket,
            side=side,
        )
        for server, requests in enumerate(draw_split(self.rng, count, weights)):
            if not requests:
                continue
            cell = self.server_cell(merged, server, requests, where, tally)
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

    def server_cell(
        self,
        template: EvidenceCell,
        server: int,
        requests: int,
        where: Situation,
        tally: Tally,
    ) -> EvidenceCell:
        """Draws the outcomes of the requests to one server."""
        side = template.side
        where.server = server
        where.domain = server % self.deployment.domains
        where.since_up_s = where.elapsed_s - self.up_since[side, server]
        effect = self.condition.effect(where)
        if self.condition.bad and where.new:
            self.note_fault(effect, requests, tally)
        lost = (
            self.condition.lost_domain == where.domain
            and where.elapsed_s >= LOST_AT_S
        )
        refused = draw_binomial(
            self.rng, requests, 1.0 if lost else effect.connect_failure
        )
        chance = self.deployment.failure_ratio + effect.failure
        failed = draw_binomial(self.rng, requests - refused, chance)
        warm = requests - refused - failed
        if where.since_up_s < COLD_S:
            warm = 0
        busy = min(where.utilization * effect.slowdown, 0.95)
        median = (
            self.deployment.median_ms
            * effect.slowdown
            * self.speed[side, server]
            / (1.0 - busy**2)
        )
        new = side is Side.NEW
        return EvidenceCell(
            move=1,
            route=template.route,
            failure_domain=template.failure_domain,
            bucket=template.bucket,
            side=side,
            instance=self.instance(side, server) if new else "",
            server_domain=f"fd{where.domain}" if new else "",
            requests=requests,
            failures=failed,
            connect_failures=refused,
            latency=draw_latencies(
                self.rng, warm, median, self.deployment.sigma
            ),
        )

    def note_fault(self, effect: Effect, requests: int, tally: Tally) -> None:
        """Counts requests that a bad version harms, by expectation."""
        share = effect.failure + effect.connect_failure
        if effect.slowdown > 1.0:
            share = 1.0
        if share > 0.0:
            tally.fault_active = True
            tally.harmed += share * requests
