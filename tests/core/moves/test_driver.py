"""Tests of the steps of a move."""

import random

import msgspec
import pytest
from vanillamast_core.configuration import MoveSpec
from vanillamast_core.journal import AdvanceMove, SettleMove, TakeBack
from vanillamast_core.moves import (
    Baseline,
    Driver,
    DriverSettings,
    Move,
    MoveState,
    NoRegression,
    Regression,
    Undecided,
)

DEADLINE_S = 1000.0
SLOT_S = 200.0  # Five steps.


class StubJudge:
    """A judge whose verdict the test sets."""

    def __init__(self):
        self.next_verdict = Undecided(1.0)
        self.old_baseline = Baseline(0.01, 40.0)

    def verdict(self, move, wall, dead, instances=None):
        """Returns the verdict that the test set."""
        return self.next_verdict

    def forget(self, started_at):
        """Has nothing to drop."""

    def baseline(self, started_at):
        """Returns what the test set."""
        return self.old_baseline


class DriverRun:
    """A driver on a move whose records take effect at once."""

    def __init__(self, deadline=DEADLINE_S, **spec):
        self.driver = Driver(DriverSettings(), random.Random(1))
        self.judge = StubJudge()
        self.now = 0.0
        self.token = 9
        self.move = Move(
            name="m",
            started_at=3,
            spec=MoveSpec(
                service="s", old="1", new="2", deadline=deadline, **spec
            ),
            changed_at=3,
        )
        self.step_times = {}

    def decide(self):
        """Returns the driver's records now; wall time is `now`."""
        return self.driver.decide(
            [self.move], self.judge, self.token, self.now, self.now, 20
        )

    def apply(self, records):
        """Applies records."""
        for record in records:
            if isinstance(record, AdvanceMove):
                assert record.from_step == self.move.step
                step = self.move.step + 1
                self.step_times[step] = self.now
                last = step + 1 == len(self.move.spec.steps)
                state = MoveState.DONE if last else MoveState.RUNNING
                self.change(step=step, state=state)
            elif isinstance(record, SettleMove):
                self.step_times["settled"] = self.now
                self.change(state=MoveState.SETTLED)
            else:
                self.change(state=MoveState.TAKEN_BACK)

    def change(self, **changes):
        """Changes the move as a record does."""
        changes["changed_at"] = self.move.changed_at + 1
        self.move = msgspec.structs.replace(self.move, **changes)

    def run_until(self, end):
        """Decides each second, and again as long as records are applied."""
        while self.now < end:
            while records := self.decide():
                self.apply(records)
            self.now += 1.0
        return self.step_times


class TestSteps:
    """When a driver takes a step."""

    def test_undecided(self):
        """Guards against a late move when little traffic gives no verdict."""
        times = DriverRun().run_until(1100.0)
        assert times == {
            0: 0.0,
            1: SLOT_S,
            2: 2 * SLOT_S,
            3: 3 * SLOT_S,
            4: 4 * SLOT_S,
            "settled": 4 * SLOT_S + 60.0 + DriverSettings().evidence_lag_s,
        }

    def test_good(self):
        """Guards against a good version that waits for slots or skips dwell."""
        run = DriverRun()
        run.judge.next_verdict = NoRegression(1.0)
        times = run.run_until(700.0)
        assert [times[step] for step in range(4)] == [0.0, 5.0, 10.0, 15.0]
        half_slot = DriverSettings().last_pace * (DEADLINE_S - 15.0) / 2
        assert half_slot <= times[4] - 15.0 <= half_slot + 1.0

    @pytest.mark.parametrize(
        ("on_deadline", "last"), [("hold", None), ("finish", 994.0)]
    )
    def test_high_e_value(self, on_deadline, last):
        """Guards against steps before twice the slot at a high e-value."""
        run = DriverRun(on_deadline=on_deadline)
        run.judge.next_verdict = Undecided(10.0)
        times = run.run_until(1200.0)
        assert times[1] == 2 * SLOT_S
        assert times[2] == 2 * SLOT_S + 2 * (DEADLINE_S - 2 * SLOT_S) / 4
        assert times.get(4) == last

    def test_hold_ends(self):
        """Guards against a move that stays after its e-value has fallen."""
        run = DriverRun()
        run.judge.next_verdict = Undecided(10.0)
        run.run_until(1200.0)
        assert run.move.step == 3
        run.judge.next_verdict = Undecided(2.0)
        assert run.run_until(1202.0)[4] == 1200.0

    def test_high_e_value_good(self):
        """Guards against a step on NoRegression despite a high e-value."""
        run = DriverRun()
        run.judge.next_verdict = NoRegression(10.0)
        assert 1 not in run.run_until(SLOT_S)

    @pytest.mark.parametrize("state", [MoveState.RUNNING, MoveState.HELD])
    def test_bad(self, state):
        """Guards against a regression that is not rolled back."""
        run = DriverRun()
        run.run_until(50.0)
        run.change(state=state)
        run.judge.next_verdict = Regression("failures", "a", 1e5)
        (record,) = run.decide()
        assert isinstance(record, TakeBack)
        assert record.started_at == 3
        assert "failures" in record.reason

    def test_bad_after_done(self):
        """Guards against a regression after share 1 that is not rolled back."""
        run = DriverRun()
        run.run_until(820.0)
        assert run.move.state is MoveState.DONE
        run.judge.next_verdict = Regression("failures", "", 1e5)
        assert isinstance(run.decide()[0], TakeBack)

    def test_held(self):
        """Guards against steps while an operator holds the move."""
        run = DriverRun()
        run.run_until(50.0)
        run.change(state=MoveState.HELD)
        run.judge.next_verdict = NoRegression(1.0)
        run.run_until(400.0)
        assert run.move.step == 0
        run.change(state=MoveState.RUNNING)
        assert run.run_until(420.0)[1] == 405.0

    def test_near_deadline(self):
        """Guards against skipped steps when the deadline is too near."""
        run = DriverRun(deadline=8.0)
        times = run.run_until(100.0)
        assert [times[step] for step in range(5)] == [0, 5, 10, 15, 20]
        (event,) = run.driver.take_unreachable()
        assert (event.started_at, event.earliest) == (3, 20.0)
        assert run.driver.take_unreachable() == []
        reachable = DriverRun()
        reachable.run_until(50.0)
        assert reachable.driver.take_unreachable() == []


class TestRecords:
    """What a driver proposes."""

    def test_baseline(self):
        """Guards against a missing baseline, or a wrong fencing token."""
        (record,) = DriverRun().decide()
        assert record.token == 9
        assert record.based_on == 20
        assert record.baseline_failure_ratio == 0.01
        assert record.baseline_slow_ms == 40.0

    def test_baseline_unknown(self):
        """Guards against a new driver that erases the recorded baseline."""
        run = DriverRun()
        run.run_until(10.0)
        run.change(baseline_failure_ratio=0.03, baseline_slow_ms=70.0)
        run.judge.old_baseline = Baseline(0.0, 0.0)
        run.judge.next_verdict = NoRegression(1.0)
        run.decide()
        run.now += 10.0
        (record,) = run.decide()
        assert record.baseline_failure_ratio == 0.03
        assert record.baseline_slow_ms == 70.0

    def test_repeat(self):
        """Guards against a flood of appends while the platform is slow."""
        run = DriverRun()
        records = []
        for _ in range(60):
            records += run.decide()
            run.now += 1.0
        assert len({record.id for record in records}) == 1
        assert len(records) == 10

    def test_takeover(self):
        """Guards against a new driver that acts at once on old evidence."""
        run = DriverRun()
        run.judge.next_verdict = NoRegression(1.0)
        run.run_until(6.0)
        run.token = 30
        assert run.decide() == []
        run.now += 4.0
        assert run.decide() == []
        run.now += 1.0
        (record,) = run.decide()
        assert record.token == 30
