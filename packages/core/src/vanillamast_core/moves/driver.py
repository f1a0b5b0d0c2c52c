"""Advances moves step by step while the evidence allows it."""

import random
import uuid
from collections.abc import Iterable, Mapping

from vanillamast_core.journal.record import Record
from vanillamast_core.journal.records import (
    AdvanceMove,
    SettleMove,
    TakeBack,
)
from vanillamast_core.moves.baseline import Baseline
from vanillamast_core.moves.deadline_unreachable import DeadlineUnreachable
from vanillamast_core.moves.driver_settings import DriverSettings
from vanillamast_core.moves.judge import NO_COUNTS, Judge
from vanillamast_core.moves.move import Move, MoveState
from vanillamast_core.moves.move_progress import MoveProgress, plan_slot_s
from vanillamast_core.moves.verdict import NoRegression, Regression, Verdict


class Driver:
    """Proposes the records that the holder of a driver lease appends.

    The time of a step counts from the moment at which this driver observed
    it, on its own monotonic clock. After a takeover the new driver therefore
    waits the minimum dwell again, and divides the time left until the deadline
    over the remaining steps.

    Attributes:
      settings: When a step is taken.
      rng: Source of the records' ids.
      progress: Progress by `Move.started_at`.
      unreachable: Moves that cannot meet their deadline, until the caller
        collects them with `take_unreachable`.
      reported_unreachable: Moves that were reported as unreachable.
      token: Fencing token of the last decision.
    """

    def __init__(self, settings: DriverSettings, rng: random.Random):
        self.settings = settings
        self.rng = rng
        self.progress: dict[int, MoveProgress] = {}
        self.unreachable: list[DeadlineUnreachable] = []
        self.reported_unreachable: set[int] = set()
        self.token = 0

    def decide(
        self,
        moves: Iterable[Move],
        judge: Judge,
        token: int,
        wall: float,
        now: float,
        offset: int,
        dead: frozenset[str] = frozenset(),
        instances: Mapping[int, int] = NO_COUNTS,
    ) -> list[Record]:
        """Returns the records to append.

        Args:
          moves: Moves of the lease's shard.
          judge: Evidence about them.
          token: Fencing token of the lease.
          wall: Wall time in seconds.
          now: Monotonic time in seconds.
          offset: Log offset of the state that holds `moves`.
          dead: Instances that membership considers dead.
          instances: Number of instances of the new version by
            `Move.started_at`, where it is known.
        """
        if token != self.token:
            self.token = token
            self.progress.clear()
        active = []
        for move in moves:
            if move.state.final:
                judge.forget(move.started_at)
            else:
                active.append(move)
        self.forget_finished({move.started_at for move in active})
        records = []
        for move in active:
            verdict = judge.verdict(
                move, wall, dead, instances.get(move.started_at)
            )
            record = self.decide_move(move, judge, verdict, wall, now, offset)
            if record is not None:
                records.append(record)
        return records

    def forget_finished(self, active: set[int]) -> None:
        """Drops the progress of moves that have ended."""
        for started_at in self.progress.keys() - active:
            del self.progress[started_at]
        self.reported_unreachable &= active

    def take_unreachable(self) -> list[DeadlineUnreachable]:
        """Returns and clears the unreachable deadlines since the last call."""
        events, self.unreachable = self.unreachable, []
        return events

    def decide_move(
        self,
        move: Move,
        judge: Judge,
        verdict: Verdict,
        wall: float,
        now: float,
        offset: int,
    ) -> Record | None:
        """Returns the record to append for one move, None if none is due."""
        progress = self.track_progress(move, wall, now)
        if isinstance(verdict, Regression):
            record_type: type[Record] | None = TakeBack
        elif move.state is MoveState.RUNNING:
            ready = self.step_due(move, progress, verdict, now)
            record_type = AdvanceMove if ready else None
        elif move.state is MoveState.DONE:
            ready = self.settle_due(move, progress, verdict, now)
            record_type = SettleMove if ready else None
        else:
            record_type = None
        if record_type is None:
            return None
        if type(progress.proposal) is record_type:
            return self.repeat_proposal(progress, now)
        progress.proposal = self.new_record(
            record_type, move, judge, verdict, offset
        )
        progress.proposed_at = now
        return progress.proposal

    def track_progress(
        self, move: Move, wall: float, now: float
    ) -> MoveProgress:
        """Returns the move's progress, which restarts when the move changes."""
        progress = self.progress.get(move.started_at)
        if progress is None or progress.changed_at != move.changed_at:
            slot = plan_slot_s(move, wall)
            margin = move.spec.deadline - wall - self.settings.finish_margin_s
            longest = self.settings.caution_slots * slot
            latest = now + max(min(longest, margin), move.spec.min_dwell_s)
            progress = MoveProgress(move.changed_at, now, slot, latest)
            self.progress[move.started_at] = progress
            self.report_unreachable(move, wall)
        return progress

    def report_unreachable(self, move: Move, wall: float) -> None:
        """Reports once if the minimum dwell times end after the deadline."""
        if move.state is not MoveState.RUNNING:
            return
        dwells = len(move.spec.steps) - 1 - max(move.step, 0)
        earliest = wall + dwells * move.spec.min_dwell_s
        if (
            earliest <= move.spec.deadline
            or move.started_at in self.reported_unreachable
        ):
            return
        self.reported_unreachable.add(move.started_at)
        self.unreachable.append(
            DeadlineUnreachable(
                move.name, move.started_at, move.spec.deadline, earliest
            )
        )

    def step_due(
        self, move: Move, progress: MoveProgress, verdict: Verdict, now: float
    ) -> bool:
        """Returns whether the move should go to its next step."""
        if move.step < 0:
            return True
        last = move.step + 2 >= len(move.spec.steps)
        dwell = progress.dwell_s(now)
        shortest = move.spec.min_dwell_s
        if last:
            pace = self.settings.last_pace * progress.slot_s
            shortest = max(shortest, pace)
        if dwell < shortest:
            return False
        if verdict.e_value < self.settings.caution:
            return isinstance(verdict, NoRegression) or dwell >= progress.slot_s
        if last and move.spec.on_deadline == "hold":
            return False
        return now >= progress.latest_step_at

    def settle_due(
        self, move: Move, progress: MoveProgress, verdict: Verdict, now: float
    ) -> bool:
        """Returns whether the watch time after share 1 has passed."""
        watch = move.spec.watch_s
        if verdict.e_value >= self.settings.caution:
            watch *= self.settings.caution_slots
        return progress.dwell_s(now) >= watch + self.settings.evidence_lag_s

    def repeat_proposal(
        self, progress: MoveProgress, now: float
    ) -> Record | None:
        """Returns the proposal again if it was not applied in time."""
        if now - progress.proposed_at < self.settings.repeat_s:
            return None
        progress.proposed_at = now
        return progress.proposal

    def new_record(
        self,
        kind: type[Record],
        move: Move,
        judge: Judge,
        verdict: Verdict,
        offset: int,
    ) -> Record:
        """Returns a new record of the given class."""
        record_id = str(uuid.UUID(int=self.rng.getrandbits(128), version=4))
        if kind is TakeBack:
            return TakeBack(
                id=record_id,
                based_on=offset,
                started_at=move.started_at,
                reason=str(verdict),
            )
        if kind is SettleMove:
            return SettleMove(
                id=record_id, based_on=offset, move=move.name, token=self.token
            )
        baseline = judge.baseline(move.started_at)
        if baseline.slow_ms <= 0.0:  # A new driver may lack evidence.
            baseline = Baseline(
                move.baseline_failure_ratio, move.baseline_slow_ms
            )
        return AdvanceMove(
            id=record_id,
            based_on=offset,
            move=move.name,
            from_step=move.step,
            token=self.token,
            baseline_failure_ratio=baseline.failure_ratio,
            baseline_slow_ms=baseline.slow_ms,
        )
