"""The judge's evidence about one move."""

import collections

from vanillamast_core.moves.accusation import (
    ALL_ROUTES,
    Accusation,
    Suspicion,
    count_stratum,
    waits_for_deaths,
)
from vanillamast_core.moves.cell_merge import OTHERS
from vanillamast_core.moves.clearance import Clearance
from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.moves.judge_settings import JudgeSettings
from vanillamast_core.moves.latency_bins import bin_at_or_above
from vanillamast_core.moves.move import Move, MoveState
from vanillamast_core.moves.old_history import OldHistory
from vanillamast_core.moves.old_latency import OldLatency
from vanillamast_core.moves.stratum import Stratum, StratumKey
from vanillamast_core.moves.verdict_tests import verdict_tests


class MoveEvidence:
    """Strata of one move on their way into the tests.

    A stratum is open until its bucket is over and late cells had time to
    arrive. Then it is closed: when that happens depends on request counts and
    time only, never on outcomes, so each stratum is one fair bet. Cells that
    come later form a stratum of their own. Closed strata count at once for the
    kinds that do not heed deaths; for the others they are kept for
    `dead_window_s`, because membership learns late of deaths, and counted
    anew at each verdict until then.

    Attributes:
      settings: The settings of the judge.
      open: Open strata by key.
      recent: Closed strata that are not folded into the kinds that heed
        deaths yet, in order of closing.
      accusation: Tests over the folded strata.
      clearances: Evidence for the version at this step, by kind.
      step: Step that the clearances are about.
      step_bucket: First bucket that is wholly after the step.
      done_bucket: First bucket after the state became done, None before.
      latencies: Old version's latency by caller failure domain and route.
      history: Old version's outcomes of the last minutes.
      named: Instances that are told apart.
      routes: Routes that are told apart.
      caller_domains: Failure domains of the callers' nodes seen.
      server_domains: Failure domains of servers that are told apart.
      dead_seen: Wall time at which an instance was last considered dead.
      new_requests: Requests of the new version in closed strata.
      last_bucket: Latest bucket in which the evidence was used.
    """

    def __init__(self, settings: JudgeSettings):
        self.settings = settings
        self.open: dict[StratumKey, Stratum] = {}
        self.recent: collections.deque[Stratum] = collections.deque()
        self.accusation = Accusation(settings)
        self.clearances: dict[str, Clearance] = {}
        self.step = -2
        self.step_bucket = 0
        self.done_bucket: int | None = None
        self.latencies: dict[tuple[str, str], OldLatency] = {}
        self.history = OldHistory(settings)
        self.named: set[str] = set()
        self.routes: set[str] = set()
        self.caller_domains: set[str] = set()
        self.server_domains: set[str] = set()
        self.dead_seen: dict[str, float] = {}
        self.new_requests = 0
        self.last_bucket = 0

    def add(self, cell: EvidenceCell) -> None:
        """Adds a cell to its stratum."""
        route = bounded(cell.route, self.routes, self.settings.max_routes)
        domain = bounded(
            cell.failure_domain, self.caller_domains, self.settings.max_domains
        )
        key = (cell.bucket, domain, route)
        stratum = self.open.get(key)
        if stratum is None:
            if len(self.open) >= self.settings.max_strata:
                del self.open[min(self.open)]
            stratum = self.open[key] = Stratum(cell.bucket, domain, route)
        instance = server_domain = ""
        if cell.instance:
            instance = bounded(
                cell.instance, self.named, self.settings.max_instances
            )
            server_domain = bounded(
                cell.server_domain,
                self.server_domains,
                self.settings.max_domains,
            )
        stratum.add(cell, instance, server_domain)

    def advance(self, move: Move, wall: float, dead: frozenset[str]) -> None:
        """Closes and folds the strata whose time has come."""
        self.note(move, wall, dead)
        for key in sorted(self.open):
            if self.closes(self.open[key], wall):
                self.close(self.open.pop(key), move)
            elif wall - self.end_of(self.open[key]) < -self.settings.late_s:
                del self.open[key]  # The sender's clock is wrong.
        horizon = wall - self.settings.dead_window_s
        while self.recent and (
            self.end_of(self.recent[0]) <= horizon
            or len(self.recent) > self.settings.max_strata
        ):
            stratum = self.recent.popleft()
            self.accusation.apply(
                stratum, move, self.dead_in(stratum), heeding=True
            )

    def note(self, move: Move, wall: float, dead: frozenset[str]) -> None:
        """Keeps track of the move's step and of dead instances."""
        bucket = int(wall // self.settings.bucket_s) + 1
        if move.step != self.step:
            self.step = move.step
            self.step_bucket = bucket
            self.clearances = {
                kind: Clearance(self.settings) for kind in verdict_tests
            }
        if move.state is not MoveState.DONE:
            self.done_bucket = None
        elif self.done_bucket is None:
            self.done_bucket = bucket
        for instance in dead & self.named:
            self.dead_seen[instance] = wall

    def end_of(self, stratum: Stratum) -> float:
        """Returns the wall time at which the stratum's bucket ends."""
        return (stratum.bucket + 1) * self.settings.bucket_s

    def closes(self, stratum: Stratum, wall: float) -> bool:
        """Returns whether no more cells are added to the stratum."""
        age = wall - self.end_of(stratum)
        if age >= self.settings.late_s:
            return True
        ready = stratum.complete or self.in_done(stratum)
        return ready and age >= self.settings.settle_s

    def in_done(self, stratum: Stratum) -> bool:
        """Returns whether the stratum is from the time after share 1."""
        return (
            self.done_bucket is not None and stratum.bucket >= self.done_bucket
        )

    def close(self, stratum: Stratum, move: Move) -> None:
        """Fixes what is slow, and uses the stratum for all but accusation."""
        key = (stratum.failure_domain, stratum.route)
        latency = self.latencies.setdefault(key, OldLatency())
        stratum.slow_bin = latency.slow_bin(
            self.settings.slow_quantile, self.settings.min_latencies
        )
        if stratum.old is not None:
            latency.absorb(stratum.bucket, stratum.old.latency)
            self.history.absorb(stratum.old)
        elif self.in_done(stratum):
            stratum.after_done = True
            stratum.slow_bin = self.done_slow_bin(move)
        self.new_requests += stratum.new_requests()
        if stratum.bucket >= self.step_bucket:
            self.clear(stratum)
        self.accusation.apply(stratum, move, (), heeding=False)
        if waits_for_deaths(stratum):
            self.recent.append(stratum)

    def done_slow_bin(self, move: Move) -> int | None:
        """Returns the first slow bin after share 1."""
        if move.baseline_slow_ms <= 0.0:
            return None
        return bin_at_or_above(
            self.settings.done_slow_factor * move.baseline_slow_ms
        )

    def clear(self, stratum: Stratum) -> None:
        """Adds a stratum to the evidence for the new version."""
        dead = self.dead_in(stratum)
        for kind, clearance in self.clearances.items():
            counts = count_stratum(stratum, verdict_tests.entries[kind], dead)
            clearance.apply(
                counts.old_bad,
                counts.old_total,
                sum(part.bad for part in counts.parts),
                sum(part.total for part in counts.parts),
            )

    def dead_in(self, stratum: Stratum) -> set[str]:
        """Returns the instances seen dead since the stratum's bucket."""
        start = stratum.bucket * self.settings.bucket_s
        return {name for name, at in self.dead_seen.items() if at >= start}

    def suspicion(self, move: Move, instances: int | None) -> Suspicion:
        """Returns the evidence against the new version."""
        accusation = self.accusation.copy()
        for stratum in self.recent:
            dead = self.dead_in(stratum)
            accusation.apply(stratum, move, dead, heeding=True)
        return accusation.suspicion(self.sole_instance(instances))

    def sole_instance(self, instances: int | None) -> bool:
        """Returns whether the new version has only one instance.

        If the number is not known, one instance must have had all requests
        from several failure domains: callers prefer their own, so one of them
        may see one instance of many.
        """
        if instances is not None:
            return instances == 1
        return (
            len(self.named) == 1
            and len(self.caller_domains) > 1
            and self.new_requests >= self.settings.sole_requests
        )

    def cleared(self) -> bool:
        """Returns whether the version is shown to be fit at this step."""
        return bool(self.clearances) and all(
            clearance.e_value() >= self.settings.clear_level
            for clearance in self.clearances.values()
        )


def bounded(name: str, known: set[str], limit: int) -> str:
    """Returns the name, or the one for all others once there are `limit`."""
    if name in known or name in (OTHERS, ALL_ROUTES):
        return name or OTHERS
    if len(known) >= limit:
        return OTHERS
    known.add(name)
    return name
