"""Policies that the benchmark compares."""

import random
from collections.abc import Callable
from typing import Protocol

from vanillamast_core.journal import AdvanceMove, SettleMove, TakeBack
from vanillamast_core.moves import (
    Driver,
    DriverSettings,
    EvidenceCell,
    Judge,
    JudgeSettings,
    MoveState,
    Side,
    find_alarms,
    merge_cells,
)

from vanillamast_testing.bench_moves.move_simulation import (
    FENCING_TOKEN,
    MoveSimulation,
)
from vanillamast_testing.bench_moves.traffic import BUCKET_S

# Delays from the end of a bucket until a judge receives its cells.
DOMAIN_JUDGE_DELAY_BUCKETS = 1
DRIVER_JUDGE_DELAY_BUCKETS = 2
LATE_CELL_PROBABILITY = 0.1  # Late cells arrive one bucket later.
LOST_CELL_PROBABILITY = 0.02


class Policy(Protocol):
    """Decides on the move after each bucket."""

    def handle_bucket(self, cells: list[EvidenceCell], wall: float) -> None:
        """Evaluates the cells of a bucket and changes the simulated move.

        Args:
          cells: Outcomes of the bucket that just ended.
          wall: Wall time in seconds.
        """


class EvidencePolicy:
    """Runs the driver, and a judge in each failure domain and at the driver.

    Attributes:
      simulation: State of the move.
      judges: Judges by failure domain; the driver's has the key "".
      driver: The driver.
      cells_in_transit: Judge and cell by the number of the bucket at which
        the cell arrives.
      find_dead_instances: Returns the instances that membership considers dead.
      bucket_count: Buckets handled so far.
    """

    def __init__(
        self,
        simulation: MoveSimulation,
        rng: random.Random,
        find_dead_instances: Callable[[float], frozenset[str]],
    ):
        self.simulation = simulation
        self.rng = rng
        self.find_dead_instances = find_dead_instances
        domains = simulation.deployment.domains
        settings = JudgeSettings(judges=domains + 1)
        names = ["", *(f"fd{index}" for index in range(domains))]
        self.judges = {name: Judge(settings) for name in names}
        self.driver = Driver(DriverSettings(), rng)
        self.cells_in_transit: dict[int, list[tuple[str, EvidenceCell]]] = {}
        self.bucket_count = 0

    def handle_bucket(self, cells: list[EvidenceCell], wall: float) -> None:
        """See `Policy.handle_bucket`."""
        self.bucket_count += 1
        self.send_cells(cells)
        for name, cell in self.cells_in_transit.pop(self.bucket_count, ()):
            self.judges[name].add((cell,))
        dead = self.find_dead_instances(wall)
        counts = {1: self.simulation.deployment.servers}
        for name, judge in self.judges.items():
            if not name:
                continue
            for started_at, reason in find_alarms(
                judge, [self.simulation.move], wall, dead, counts
            ):
                alarm = TakeBack(
                    id="", based_on=0, started_at=started_at, reason=reason
                )
                self.simulation.apply_record(alarm, wall)
        for record in self.driver.decide(
            [self.simulation.move],
            self.judges[""],
            FENCING_TOKEN,
            wall,
            wall,
            self.simulation.offset,
            dead,
            counts,
        ):
            self.simulation.apply_record(record, wall)

    def send_cells(self, cells: list[EvidenceCell]) -> None:
        """Schedules the arrival of the cells at the judges."""
        for cell in merge_cells(cells, ()):
            if self.rng.random() < LOST_CELL_PROBABILITY:
                continue
            late = self.rng.random() < LATE_CELL_PROBABILITY
            for name, delay in (
                (cell.failure_domain, DOMAIN_JUDGE_DELAY_BUCKETS),
                ("", DRIVER_JUDGE_DELAY_BUCKETS),
            ):
                arrival = self.bucket_count + delay + late
                self.cells_in_transit.setdefault(arrival, []).append(
                    (name, cell)
                )


class TimerHealthPolicy:
    """Advances on a timer and rolls back on reports of health endpoints.

    An endpoint reports the state of `REPORT_LAG_S` ago and detects only high
    failure ratios; some of its reports are false alarms. The move is rolled
    back when at least half of the new version's endpoints report failures in
    `UNHEALTHY_POLLS` consecutive polls.
    """

    POLL_S = 6.0
    REPORT_LAG_S = 30.0
    DETECTION_FAILURE_RATIO = 0.15
    FALSE_REPORT_PROBABILITY = 0.01
    UNHEALTHY_POLLS = 3

    def __init__(
        self,
        simulation: MoveSimulation,
        rng: random.Random,
        find_dead_instances: Callable[[float], frozenset[str]],
    ):
        self.simulation = simulation
        self.rng = rng
        self.started_at = (
            None
            if simulation.full_share_at is None
            else simulation.full_share_at
        )
        self.history: list[tuple[float, dict[str, tuple[int, int]]]] = []
        self.last_poll = 0.0
        self.unhealthy_polls = 0

    def handle_bucket(self, cells: list[EvidenceCell], wall: float) -> None:
        """See `Policy.handle_bucket`."""
        if self.started_at is None:
            self.started_at = wall - BUCKET_S
        counts: dict[str, tuple[int, int]] = {}
        for cell in cells:
            if cell.side is Side.NEW:
                failures, total = counts.get(cell.instance, (0, 0))
                counts[cell.instance] = (
                    failures + cell.failures,
                    total + cell.requests - cell.connect_failures,
                )
        self.history.append((wall, counts))
        if self.poll_endpoints(wall):
            roll_back(self.simulation, wall, "health endpoints")
        else:
            advance_on_timer(self.simulation, wall, self.started_at)

    def poll_endpoints(self, wall: float) -> bool:
        """Polls the endpoints if a poll is due.

        Returns:
          Whether enough consecutive polls found the new version unhealthy.
        """
        if wall - self.last_poll < self.POLL_S:
            return False
        self.last_poll = wall
        seen: dict[str, tuple[int, int]] = {}
        for at, counts in self.history:
            if (
                wall - self.REPORT_LAG_S - self.POLL_S
                < at
                <= wall - self.REPORT_LAG_S
            ):
                for name, (failures, total) in counts.items():
                    failures_before, total_before = seen.get(name, (0, 0))
                    seen[name] = (
                        failures_before + failures,
                        total_before + total,
                    )
        reports = sum(
            1
            for failures, total in seen.values()
            if total
            and (
                failures / total >= self.DETECTION_FAILURE_RATIO
                or self.rng.random() < self.FALSE_REPORT_PROBABILITY
            )
        )
        unhealthy = 2 * reports >= self.simulation.deployment.servers
        self.unhealthy_polls = self.unhealthy_polls + 1 if unhealthy else 0
        return self.unhealthy_polls >= self.UNHEALTHY_POLLS


class TimerRatioPolicy:
    """Advances on a timer and rolls back above a failure ratio of requests.

    The move is rolled back when the new version's failure ratio over the last
    30 s is more than twice the old version's and more than 1%.
    """

    WINDOW_S = 30.0
    RATIO_FACTOR = 2.0
    MIN_FAILURE_RATIO = 0.01
    MIN_REQUESTS = 50

    def __init__(
        self,
        simulation: MoveSimulation,
        rng: random.Random,
        find_dead_instances: Callable[[float], frozenset[str]],
    ):
        self.simulation = simulation
        self.started_at: float | None = None
        self.history: list[tuple[float, list[EvidenceCell]]] = []

    def handle_bucket(self, cells: list[EvidenceCell], wall: float) -> None:
        """See `Policy.handle_bucket`."""
        if self.started_at is None:
            self.started_at = wall - BUCKET_S
        self.history.append((wall, cells))
        while self.history[0][0] <= wall - self.WINDOW_S:
            self.history.pop(0)
        counts = {Side.OLD: [0, 0], Side.NEW: [0, 0]}
        for _, batch in self.history:
            for cell in batch:
                failures = cell.failures + cell.connect_failures
                counts[cell.side][0] += failures
                counts[cell.side][1] += cell.requests
        old_ratio = counts[Side.OLD][0] / max(counts[Side.OLD][1], 1)
        failures, total = counts[Side.NEW]
        limit = max(self.MIN_FAILURE_RATIO, self.RATIO_FACTOR * old_ratio)
        if total >= self.MIN_REQUESTS and failures / total > limit:
            roll_back(self.simulation, wall, "failure ratio")
        else:
            advance_on_timer(self.simulation, wall, self.started_at)


def roll_back(simulation: MoveSimulation, wall: float, reason: str) -> None:
    """Rolls the move back."""
    record = TakeBack(id="", based_on=0, started_at=1, reason=reason)
    simulation.apply_record(record, wall)


def advance_on_timer(
    simulation: MoveSimulation, wall: float, started_at: float
) -> None:
    """Advances the move at equal intervals; settles it after the watch time."""
    move = simulation.move
    step_period_s = simulation.deployment.deadline_s / len(move.spec.steps)
    if move.state is MoveState.RUNNING:
        if wall - started_at >= (move.step + 1) * step_period_s:
            record = AdvanceMove(
                id="",
                based_on=0,
                move=move.name,
                from_step=move.step,
                token=FENCING_TOKEN,
            )
            simulation.apply_record(record, wall)
    elif (
        simulation.full_share_at is not None
        and wall - simulation.full_share_at >= move.spec.watch_s
    ):
        settle = SettleMove(
            id="", based_on=0, move=move.name, token=FENCING_TOKEN
        )
        simulation.apply_record(settle, wall)


POLICIES: dict[str, Callable[..., Policy]] = {
    "evidence": EvidencePolicy,
    "timer_health": TimerHealthPolicy,
    "timer_ratio": TimerRatioPolicy,
}
