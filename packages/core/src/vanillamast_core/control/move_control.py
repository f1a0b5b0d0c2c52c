"""A node's part in moves: evidence, alarms and driving."""

import random
import uuid
from collections.abc import Iterable, Mapping

from vanillamast_core.control.core_settings import CoreSettings
from vanillamast_core.journal import Record, TakeBack, shard_of
from vanillamast_core.moves import (
    DeadlineUnreachable,
    Driver,
    EvidenceCell,
    EvidenceWindow,
    Judge,
    Move,
    Observation,
    Side,
    find_alarms,
)
from vanillamast_core.peers import InstanceDirectory
from vanillamast_core.requests import AttemptOutcome, AttemptResult

# Time after which the driver appends a rollback again, in case the append of
# the node that raised the alarm was lost.
ALARM_REPEAT_S = 6.0


class MoveControl:
    """Collects evidence, raises alarms and drives moves under a lease.

    Attributes:
      settings: Settings of the core.
      rng: Source of the records' ids.
      window: Outcomes of this node's requests.
      judge: Tests on the evidence that this node receives.
      drivers: Drivers by shard of the services.
      rolled_back_at: When a rollback was last appended, by `Move.started_at`.
    """

    def __init__(self, settings: CoreSettings, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self.window = EvidenceWindow(settings.evidence, settings.failure_domain)
        self.judge = Judge(settings.judge)
        self.drivers: dict[int, Driver] = {}
        self.rolled_back_at: dict[int, float] = {}

    def record_attempt(
        self, attempt: AttemptResult, moves: Iterable[Move], wall: float
    ) -> None:
        """Counts an attempt if its service has an active move."""
        if attempt.outcome is AttemptOutcome.CANCELLED:
            return
        for move in moves:
            side = find_side(move, attempt)
            if side is not None:
                self.window.record(to_observation(move, side, attempt), wall)

    def drain(self, wall: float) -> tuple[EvidenceCell, ...]:
        """Returns this node's evidence since the last call."""
        return self.window.drain(wall)

    def add_evidence(self, cells: Iterable[EvidenceCell]) -> None:
        """Adds merged evidence to the judge."""
        self.judge.add(cells)

    def find_alarms(
        self,
        moves: Iterable[Move],
        raised: Mapping[int, str],
        directory: InstanceDirectory,
        wall: float,
    ) -> list[tuple[int, str]]:
        """Returns new alarms: `Move.started_at` and the reason of each."""
        candidates = [m for m in moves if m.started_at not in raised]
        return find_alarms(
            self.judge,
            candidates,
            wall,
            frozenset(directory.dead),
            count_instances(candidates, directory),
        )

    def drive(
        self,
        shard: int,
        moves: list[Move],
        token: int,
        directory: InstanceDirectory,
        wall: float,
        now: float,
        offset: int,
    ) -> list[Record]:
        """Returns the records that the holder of a driver lease appends."""
        driver = self.drivers.get(shard)
        if driver is None:
            driver = Driver(self.settings.driver, self.rng)
            self.drivers[shard] = driver
        return driver.decide(
            moves,
            self.judge,
            token,
            wall,
            now,
            offset,
            frozenset(directory.dead),
            count_instances(moves, directory),
        )

    def roll_back(
        self, started_at: int, reason: str, offset: int, now: float
    ) -> TakeBack | None:
        """Returns the rollback for an alarm unless it was appended recently."""
        last = self.rolled_back_at.get(started_at)
        if last is not None and now - last < ALARM_REPEAT_S:
            return None
        self.rolled_back_at[started_at] = now
        record_id = str(uuid.UUID(int=self.rng.getrandbits(128), version=4))
        return TakeBack(
            id=record_id,
            based_on=offset,
            started_at=started_at,
            reason=reason,
        )

    def take_unreachable(self) -> list[DeadlineUnreachable]:
        """Returns and clears the deadlines that cannot be met."""
        found: list[DeadlineUnreachable] = []
        for driver in self.drivers.values():
            found += driver.take_unreachable()
        return found

    def forget(self, active: set[int]) -> None:
        """Drops the state of moves that are not active."""
        for started_at in self.rolled_back_at.keys() - active:
            del self.rolled_back_at[started_at]
        for started_at in self.judge.moves.keys() - active:
            self.judge.forget(started_at)


def find_side(move: Move, attempt: AttemptResult) -> Side | None:
    """Returns which of a move's versions served an attempt, None if neither."""
    if attempt.service != move.spec.service:
        return None
    if attempt.server_version == move.spec.new:
        return Side.NEW
    return Side.OLD if attempt.server_version == move.spec.old else None


def to_observation(
    move: Move, side: Side, attempt: AttemptResult
) -> Observation:
    """Returns the evidence that an attempt gives.

    Shed attempts count as failures: a version that sheds everything is a
    regression although no request failed. Under overload both versions shed.
    """
    shed = attempt.outcome is AttemptOutcome.SHED
    return Observation(
        move=move.started_at,
        route=attempt.route,
        side=side,
        instance=attempt.instance,
        server_domain=attempt.failure_domain,
        connected=attempt.connected,
        failed=attempt.failed or shed,
        latency_s=attempt.latency_s,
        cold=attempt.cold,
    )


def count_instances(
    moves: Iterable[Move], directory: InstanceDirectory
) -> dict[int, int]:
    """Returns the instance counts of new versions by `Move.started_at`."""
    return {
        move.started_at: sum(
            announcement.server_version == move.spec.new
            for announcement in directory.get_usable(move.spec.service)
        )
        for move in moves
    }


def group_by_shard(moves: Iterable[Move]) -> dict[int, list[Move]]:
    """Groups moves by the shard of their service."""
    shards: dict[int, list[Move]] = {}
    for move in moves:
        shards.setdefault(shard_of(move.spec.service), []).append(move)
    return shards
