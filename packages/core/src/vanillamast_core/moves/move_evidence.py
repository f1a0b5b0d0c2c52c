"""A judge's evidence about one move."""

import collections

from vanillamast_core.moves.cell_merge import OTHERS
from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.moves.judge_settings import JudgeSettings
from vanillamast_core.moves.latency_bins import bin_at_or_above
from vanillamast_core.moves.latency_histogram import DecayingLatencyHistogram
from vanillamast_core.moves.move import Move, MoveState
from vanillamast_core.moves.noninferiority import NoninferiorityTest
from vanillamast_core.moves.old_version_history import OldVersionHistory
from vanillamast_core.moves.regression_evidence import (
    ALL_ROUTES,
    CombinedEValue,
    RegressionEvidence,
    count_stratum,
    needs_liveness,
)
from vanillamast_core.moves.stratum import Stratum, StratumKey
from vanillamast_core.moves.verdict_tests import verdict_tests


class MoveEvidence:
    """Groups the cells of one move into strata and passes them to the tests.

    A stratum is open until its bucket has ended and late cells had time to
    arrive. When it closes depends on request counts and time only, never on
    outcomes, so that the expectation of its likelihood ratio stays at most 1.
    Cells that arrive later form a stratum of their own. Closed strata count at
    once for the kinds that do not depend on liveness. For the others they stay
    pending for `dead_window_s`, because membership detects dead instances
    late, and are counted again at each verdict until then.

    Attributes:
      settings: The settings of the judge.
      open_strata: Open strata by key.
      pending_strata: Closed strata that are not yet added to the kinds that
        depend on liveness, in order of closing.
      regression: Tests over the strata that are final.
      noninferiority_tests: Noninferiority tests of this step, by kind.
      step: Step that the noninferiority tests are about.
      step_bucket: First bucket that is wholly after the step.
      done_bucket: First bucket after the state became done, None before.
      old_latencies: Old version's latency by caller failure domain and route.
      old_history: Old version's outcomes of the last minutes.
      named_instances: Instances that are told apart.
      routes: Routes that are tested separately.
      caller_domains: Failure domains of the callers' nodes.
      server_domains: Failure domains of servers that are told apart.
      last_dead_at: Wall time at which an instance was last considered dead.
      new_requests: Requests of the new version in closed strata.
      last_bucket: Latest bucket in which the evidence was used.
    """

    def __init__(self, settings: JudgeSettings):
        self.settings = settings
        self.open_strata: dict[StratumKey, Stratum] = {}
        self.pending_strata: collections.deque[Stratum] = collections.deque()
        self.regression = RegressionEvidence(settings)
        self.noninferiority_tests: dict[str, NoninferiorityTest] = {}
        self.step = -2
        self.step_bucket = 0
        self.done_bucket: int | None = None
        self.old_latencies: dict[tuple[str, str], DecayingLatencyHistogram] = {}
        self.old_history = OldVersionHistory(settings)
        self.named_instances: set[str] = set()
        self.routes: set[str] = set()
        self.caller_domains: set[str] = set()
        self.server_domains: set[str] = set()
        self.last_dead_at: dict[str, float] = {}
        self.new_requests = 0
        self.last_bucket = 0

    def add(self, cell: EvidenceCell) -> None:
        """Adds a cell to its stratum."""
        route = limit_names(cell.route, self.routes, self.settings.max_routes)
        domain = limit_names(
            cell.failure_domain, self.caller_domains, self.settings.max_domains
        )
        key = (cell.bucket, domain, route)
        stratum = self.open_strata.get(key)
        if stratum is None:
            if len(self.open_strata) >= self.settings.max_strata:
                del self.open_strata[min(self.open_strata)]
            stratum = self.open_strata[key] = Stratum(
                cell.bucket, domain, route
            )
        instance = server_domain = ""
        if cell.instance:
            instance = limit_names(
                cell.instance, self.named_instances, self.settings.max_instances
            )
            server_domain = limit_names(
                cell.server_domain,
                self.server_domains,
                self.settings.max_domains,
            )
        stratum.add(cell, instance, server_domain)

    def close_due_strata(
        self, move: Move, wall: float, dead: frozenset[str]
    ) -> None:
        """Closes due strata and adds them to the tests."""
        self.update_move(move, wall, dead)
        for key in sorted(self.open_strata):
            if self.is_due(self.open_strata[key], wall):
                self.close_stratum(self.open_strata.pop(key), move)
            elif (
                wall - self.bucket_end(self.open_strata[key])
                < -self.settings.late_s
            ):
                del self.open_strata[key]  # The sender's clock is wrong.
        horizon = wall - self.settings.dead_window_s
        while self.pending_strata and (
            self.bucket_end(self.pending_strata[0]) <= horizon
            or len(self.pending_strata) > self.settings.max_strata
        ):
            stratum = self.pending_strata.popleft()
            self.regression.add_stratum(
                stratum,
                move,
                self.dead_instances_since(stratum),
                liveness_dependent=True,
            )

    def update_move(
        self, move: Move, wall: float, dead: frozenset[str]
    ) -> None:
        """Tracks the move's step and state, and the dead instances."""
        bucket = int(wall // self.settings.bucket_s) + 1
        if move.step != self.step:
            self.step = move.step
            self.step_bucket = bucket
            self.noninferiority_tests = {
                kind: NoninferiorityTest(self.settings)
                for kind in verdict_tests
            }
        if move.state is not MoveState.DONE:
            self.done_bucket = None
        elif self.done_bucket is None:
            self.done_bucket = bucket
        for instance in dead & self.named_instances:
            self.last_dead_at[instance] = wall

    def bucket_end(self, stratum: Stratum) -> float:
        """Returns the wall time at which the stratum's bucket ends."""
        return (stratum.bucket + 1) * self.settings.bucket_s

    def is_due(self, stratum: Stratum, wall: float) -> bool:
        """Returns whether the stratum is due to be closed."""
        age = wall - self.bucket_end(stratum)
        if age >= self.settings.late_s:
            return True
        ready = stratum.has_both_versions or self.is_after_done(stratum)
        return ready and age >= self.settings.settle_s

    def is_after_done(self, stratum: Stratum) -> bool:
        """Returns whether the stratum is from the time after share 1."""
        return (
            self.done_bucket is not None and stratum.bucket >= self.done_bucket
        )

    def close_stratum(self, stratum: Stratum, move: Move) -> None:
        """Fixes the slow threshold and adds the stratum to the tests.

        Kinds that depend on liveness follow when it is no longer pending.
        """
        key = (stratum.failure_domain, stratum.route)
        latency = self.old_latencies.setdefault(key, DecayingLatencyHistogram())
        stratum.slow_bin = latency.slow_bin(
            self.settings.slow_quantile, self.settings.min_latencies
        )
        if stratum.old is not None:
            latency.add(stratum.bucket, stratum.old.latency)
            self.old_history.add(stratum.old)
        elif self.is_after_done(stratum):
            stratum.after_done = True
            stratum.slow_bin = self.baseline_slow_bin(move)
        self.new_requests += stratum.new_requests()
        if stratum.bucket >= self.step_bucket:
            self.add_to_noninferiority_tests(stratum)
        self.regression.add_stratum(stratum, move, (), liveness_dependent=False)
        if needs_liveness(stratum):
            self.pending_strata.append(stratum)

    def baseline_slow_bin(self, move: Move) -> int | None:
        """Returns the first slow bin after share 1, None if unknown."""
        if move.baseline_slow_ms <= 0.0:
            return None
        return bin_at_or_above(
            self.settings.done_slow_factor * move.baseline_slow_ms
        )

    def add_to_noninferiority_tests(self, stratum: Stratum) -> None:
        """Adds a stratum to the noninferiority tests."""
        dead = self.dead_instances_since(stratum)
        for kind, test in self.noninferiority_tests.items():
            counts = count_stratum(stratum, verdict_tests.entries[kind], dead)
            test.add_stratum(
                counts.old_bad,
                counts.old_total,
                sum(part.bad for part in counts.instances),
                sum(part.total for part in counts.instances),
            )

    def dead_instances_since(self, stratum: Stratum) -> set[str]:
        """Returns the instances found dead since the stratum's bucket began."""
        start = stratum.bucket * self.settings.bucket_s
        return {name for name, at in self.last_dead_at.items() if at >= start}

    def combined_e_value(
        self, move: Move, instances: int | None
    ) -> CombinedEValue:
        """Returns the evidence against the new version, pending strata too."""
        regression = self.regression.copy()
        for stratum in self.pending_strata:
            dead = self.dead_instances_since(stratum)
            regression.add_stratum(stratum, move, dead, liveness_dependent=True)
        return regression.combined_e_value(self.has_sole_instance(instances))

    def has_sole_instance(self, instances: int | None) -> bool:
        """Returns whether the new version has only one instance.

        If the number is not known, one instance must have received all
        requests from several failure domains: requests prefer servers of their
        own domain, so a single domain may see only one instance of many.
        """
        if instances is not None:
            return instances == 1
        return (
            len(self.named_instances) == 1
            and len(self.caller_domains) > 1
            and self.new_requests >= self.settings.sole_requests
        )

    def is_noninferior(self) -> bool:
        """Returns whether all kinds show noninferiority at this step."""
        return bool(self.noninferiority_tests) and all(
            test.e_value() >= self.settings.clear_level
            for test in self.noninferiority_tests.values()
        )


def limit_names(name: str, known: set[str], limit: int) -> str:
    """Returns the name, or `OTHERS` for a new one beyond `limit`."""
    if name in known or name in (OTHERS, ALL_ROUTES):
        return name or OTHERS
    if len(known) >= limit:
        return OTHERS
    known.add(name)
    return name
