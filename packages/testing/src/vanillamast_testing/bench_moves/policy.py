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

from vanillamast_testing.bench_moves.traffic import BUCKET_S
from vanillamast_testing.bench_moves.world import TOKEN, World

LOCAL_DELAY_BUCKETS = 1  # Buckets from the end of a bucket to its judge.
DRIVER_DELAY_BUCKETS = 2
LATE_CHANCE = 0.1  # Part of the cells that are later by one more bucket.
LOST_CHANCE = 0.02  # Part of the cells that are lost.


class Policy(Protocol):
    """Decides on the move after each bucket."""

    def step(self, cells: list[EvidenceCell], wall: float) -> None:
        """Takes the cells of a bucket and changes the world's move.

        Args:
          cells: Outcomes of the bucket that just ended.
          wall: Wall time in seconds.
        """


class EvidencePolicy:
    """The driver, and a judge in each failure domain and at the driver.

    Attributes:
      world: The move.
      judges: Judge by failure domain, "" for the driver's.
      driver: The driver.
      transit: Cells by the step at which they arrive, with their judge.
      dead: Returns the instances that membership considers dead.
      ticks: Steps so far.
    """

    def __init__(
        self,
        world: World,
        rng: random.Random,
        dead: Callable[[float], frozenset[str]],
    ):
        self.world = world
        self.rng = rng
        self.dead = dead
        domains = world.deployment.domains
        settings = JudgeSettings(judges=domains + 1)
        names = ["", *(f"fd{index}" for index in range(domains))]
        self.judges = {name: Judge(settings) for name in names}
        self.driver = Driver(DriverSettings(), rng)
        self.transit: dict[int, list[tuple[str, EvidenceCell]]] = {}
        self.ticks = 0

    def step(self, cells: list[EvidenceCell], wall: float) -> None:
        """See `Policy.step`."""
        self.ticks += 1
        self.send(cells)
        for name, cell in self.transit.pop(self.ticks, ()):
            self.judges[name].add((cell,))
        dead = self.dead(wall)
        counts = {1: self.world.deployment.servers}
        for name, judge in self.judges.items():
            if not name:
                continue
            for started_at, reason in find_alarms(
                judge, [self.world.move], wall, dead, counts
            ):
                alarm = TakeBack(
                    id="", based_on=0, started_at=started_at, reason=reason
                )
                self.world.apply(alarm, wall)
        for record in self.driver.decide(
            [self.world.move],
            self.judges[""],
            TOKEN,
            wall,
            wall,
            self.world.offset,
            dead,
            counts,
        ):
            self.world.apply(record, wall)

    def send(self, cells: list[EvidenceCell]) -> None:
        """Puts the cells on their way to the judges."""
        for cell in merge_cells(cells, ()):
            if self.rng.random() < LOST_CHANCE:
                continue
            late = self.rng.random() < LATE_CHANCE
            for name, delay in (
                (cell.failure_domain, LOCAL_DELAY_BUCKETS),
                ("", DRIVER_DELAY_BUCKETS),
            ):
                arrival = self.ticks + delay + late
                self.transit.setdefault(arrival, []).append((name, cell))


class TimerPolicy:
    """Fixed steps on a timer, judged by health endpoints.

    Each endpoint answers with the state of some time ago, sees only servers
    that fail a large part of their requests, and is wrong now and then. The
    move is taken back when half of the endpoints report trouble in several
    polls in a row.
    """

    POLL_S = 6.0
    LAG_S = 30.0
    SEEN_FROM = 0.15  # Failure ratio above which an endpoint notices.
    WRONG_CHANCE = 0.01
    POLLS = 3

    def __init__(
        self,
        world: World,
        rng: random.Random,
        dead: Callable[[float], frozenset[str]],
    ):
        self.world = world
        self.rng = rng
        self.started = None if world.done_at is None else world.done_at
        self.history: list[tuple[float, dict[str, tuple[int, int]]]] = []
        self.last_poll = 0.0
        self.trouble = 0

    def step(self, cells: list[EvidenceCell], wall: float) -> None:
        """See `Policy.step`."""
        if self.started is None:
            self.started = wall - BUCKET_S
        counts: dict[str, tuple[int, int]] = {}
        for cell in cells:
            if cell.side is Side.NEW:
                bad, total = counts.get(cell.instance, (0, 0))
                counts[cell.instance] = (
                    bad + cell.failures,
                    total + cell.requests - cell.connect_failures,
                )
        self.history.append((wall, counts))
        if self.unhealthy(wall):
            take_back(self.world, wall, "health endpoints")
        else:
            advance_on_timer(self.world, wall, self.started)

    def unhealthy(self, wall: float) -> bool:
        """Polls the endpoints when it is time."""
        if wall - self.last_poll < self.POLL_S:
            return False
        self.last_poll = wall
        seen: dict[str, tuple[int, int]] = {}
        for at, counts in self.history:
            if wall - self.LAG_S - self.POLL_S < at <= wall - self.LAG_S:
                for name, (bad, total) in counts.items():
                    x, n = seen.get(name, (0, 0))
                    seen[name] = (x + bad, n + total)
        reports = sum(
            1
            for bad, total in seen.values()
            if total
            and (
                bad / total >= self.SEEN_FROM
                or self.rng.random() < self.WRONG_CHANCE
            )
        )
        troubled = 2 * reports >= self.world.deployment.servers
        self.trouble = self.trouble + 1 if troubled else 0
        return self.trouble >= self.POLLS


class RatioPolicy:
    """Fixed steps on a timer, judged by a threshold on real requests.

    The move is taken back when the new version's failure ratio over the last
    30 s is more than twice the old one's and more than 1%.
    """

    WINDOW_S = 30.0
    FACTOR = 2.0
    FLOOR = 0.01
    MIN_REQUESTS = 50

    def __init__(
        self,
        world: World,
        rng: random.Random,
        dead: Callable[[float], frozenset[str]],
    ):
        self.world = world
        self.started: float | None = None
        self.history: list[tuple[float, list[EvidenceCell]]] = []

    def step(self, cells: list[EvidenceCell], wall: float) -> None:
        """See `Policy.step`."""
        if self.started is None:
            self.started = wall - BUCKET_S
        self.history.append((wall, cells))
        while self.history[0][0] <= wall - self.WINDOW_S:
            self.history.pop(0)
        counts = {Side.OLD: [0, 0], Side.NEW: [0, 0]}
        for _, batch in self.history:
            for cell in batch:
                bad = cell.failures + cell.connect_failures
                counts[cell.side][0] += bad
                counts[cell.side][1] += cell.requests
        old = counts[Side.OLD][0] / max(counts[Side.OLD][1], 1)
        bad, total = counts[Side.NEW]
        limit = max(self.FLOOR, self.FACTOR * old)
        if total >= self.MIN_REQUESTS and bad / total > limit:
            take_back(self.world, wall, "failure ratio")
        else:
            advance_on_timer(self.world, wall, self.started)


def take_back(world: World, wall: float, reason: str) -> None:
    """Takes the move back."""
    record = TakeBack(id="", based_on=0, started_at=1, reason=reason)
    world.apply(record, wall)


def advance_on_timer(world: World, wall: float, started: float) -> None:
    """Takes the steps at equal distances; settles after the watch time."""
    move = world.move
    slot = world.deployment.deadline_s / len(move.spec.steps)
    if move.state is MoveState.RUNNING:
        if wall - started >= (move.step + 1) * slot:
            record = AdvanceMove(
                id="",
                based_on=0,
                move=move.name,
                from_step=move.step,
                token=TOKEN,
            )
            world.apply(record, wall)
    elif (
        world.done_at is not None and wall - world.done_at >= move.spec.watch_s
    ):
        settle = SettleMove(id="", based_on=0, move=move.name, token=TOKEN)
        world.apply(settle, wall)


POLICIES: dict[str, Callable[..., Policy]] = {
    "evidence": EvidencePolicy,
    "timer_health": TimerPolicy,
    "timer_ratio": RatioPolicy,
}
