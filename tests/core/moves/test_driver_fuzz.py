"""Fuzz tests of drivers and judges with a small model of the log."""

import random

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from vanillamast_core.configuration import MoveSpec
from vanillamast_core.journal import AdvanceMove, SettleMove, TakeBack
from vanillamast_core.moves import (
    Driver,
    DriverSettings,
    EvidenceCell,
    Judge,
    JudgeSettings,
    Move,
    MoveState,
    Side,
    find_alarms,
)

DWELL_S = 5.0
STEPS = (0.05, 0.3, 1.0)
SETTINGS = JudgeSettings(judges=1)


class LogOracle:
    """The model: one move, one lease, records in the log's order."""

    def __init__(self, move):
        self.offset = move.started_at
        self.move = move
        self.token = 0
        self.ids = set()

    def claim(self):
        """Gives the lease to a new holder; returns the token."""
        self.offset += 1
        self.token = self.offset
        return self.token

    def refuses(self, record):
        """Returns whether a record has no effect."""
        move = self.move
        if move.state.final or record.id in self.ids:
            return True
        if isinstance(record, AdvanceMove):
            return (
                record.token != self.token
                or record.from_step != move.step
                or move.state is not MoveState.RUNNING
            )
        if isinstance(record, SettleMove):
            return (
                record.token != self.token or move.state is not MoveState.DONE
            )
        return False

    def apply(self, record):
        """Applies a record; returns whether it took effect."""
        self.offset += 1
        if self.refuses(record):
            return False
        self.ids.add(record.id)
        if isinstance(record, AdvanceMove):
            step = self.move.step + 1
            last = step + 1 == len(STEPS)
            state = MoveState.DONE if last else MoveState.RUNNING
            self.change(step=step, state=state)
        elif isinstance(record, SettleMove):
            self.change(state=MoveState.SETTLED)
        else:
            self.change(state=MoveState.TAKEN_BACK)
        return True

    def change(self, **changes):
        """Changes the move at the current offset."""
        changes["changed_at"] = self.offset
        self.move = msgspec.structs.replace(self.move, **changes)


class Node:
    """A driver and a judge that see the log's state with delay."""

    def __init__(self, driver_type, seed, move):
        self.driver = driver_type(DriverSettings(), random.Random(seed))
        self.judge = Judge(SETTINGS)
        self.view = move
        self.token = 0
        self.advances = {}


class MovesMachine(RuleBasedStateMachine):
    """Two nodes act on one move; appends are late, lost or out of order."""

    driver_type = Driver
    log_type = LogOracle

    @initialize(deadline=st.sampled_from([3.0, 60.0, 400.0]))
    def start(self, deadline):
        """Starts the move."""
        self.now = 100.0
        move = Move(
            name="m",
            started_at=1,
            spec=MoveSpec(
                service="s",
                old="1",
                new="2",
                deadline=self.now + deadline,
                steps=STEPS,
                min_dwell_s=DWELL_S,
                watch_s=10.0,
                on_deadline="finish",
            ),
            changed_at=1,
        )
        self.log = self.log_type(move)
        self.nodes = [Node(self.driver_type, seed, move) for seed in range(2)]
        self.in_flight = []
        self.shares = [0.0]
        self.stepped_at = None
        self.rolled_back = False

    @rule(node=st.integers(0, 1))
    def claim(self, node):
        """A node gets the lease; the other one does not know yet."""
        self.nodes[node].token = self.log.claim()

    @rule(node=st.integers(0, 1))
    def read_state(self, node):
        """A node sees the newest state."""
        self.nodes[node].view = self.log.move

    @rule(seconds=st.sampled_from([0.5, 2.0, 6.0, 40.0]))
    def wait(self, seconds):
        """Time passes; a node that does not act meanwhile is paused."""
        self.now += seconds

    @rule(node=st.integers(0, 1))
    def decide(self, node):
        """A node proposes records, whether or not its token is stale."""
        actor = self.nodes[node]
        records = actor.driver.decide(
            [actor.view],
            actor.judge,
            actor.token,
            self.now,
            self.now,
            self.log.offset,
            instances={1: 3},
        )
        for record in records:
            if isinstance(record, AdvanceMove):
                assert actor.view.state is MoveState.RUNNING
                key = (record.token, record.from_step, actor.view.changed_at)
                assert actor.advances.setdefault(key, record.id) == record.id
        self.in_flight += records

    @rule(node=st.integers(0, 1), bad=st.booleans())
    def evidence(self, node, bad):
        """Evidence of the last bucket reaches a node."""
        bucket = int(self.now // 2.0) - 1
        cells = [
            EvidenceCell(
                move=1,
                route="r",
                failure_domain="x",
                bucket=bucket,
                side=Side.NEW,
                instance=f"n{index}",
                server_domain=f"d{index}",
                requests=60,
                failures=30 if bad else 0,
                latency={10: 30},
            )
            for index in range(3)
        ]
        old = EvidenceCell(
            move=1,
            route="r",
            failure_domain="x",
            bucket=bucket,
            side=Side.OLD,
            requests=200,
            latency={10: 200},
        )
        self.nodes[node].judge.add([old, *cells])

    @rule(node=st.integers(0, 1))
    def alarm(self, node):
        """A node raises its alarms."""
        actor = self.nodes[node]
        for started_at, reason in find_alarms(
            actor.judge, [actor.view], self.now, frozenset(), {1: 3}
        ):
            record_id = f"alarm {node} {self.now}"
            self.in_flight.append(
                TakeBack(
                    id=record_id,
                    based_on=1,
                    started_at=started_at,
                    reason=reason,
                )
            )

    @rule()
    def operator_holds(self):
        """An operator holds the move, or lets it go on."""
        self.log.offset += 1
        if self.log.move.state is MoveState.RUNNING:
            self.log.change(state=MoveState.HELD)
        elif self.log.move.state is MoveState.HELD:
            self.log.change(state=MoveState.RUNNING)

    @precondition(lambda self: self.in_flight)
    @rule(data=st.data(), repeated=st.booleans())
    def deliver(self, data, repeated):
        """Some record in flight reaches the log, perhaps more than once."""
        index = data.draw(st.integers(0, len(self.in_flight) - 1))
        record = self.in_flight[index]
        if not repeated:
            del self.in_flight[index]
        before = self.log.move
        if self.log.apply(record):
            self.check(before, record)

    @precondition(lambda self: self.in_flight)
    @rule()
    def lose_append(self):
        """The oldest append is lost."""
        self.in_flight.pop(0)

    def check(self, before, record):
        """Checks a record that took effect."""
        after = self.log.move
        if isinstance(record, TakeBack):
            self.rolled_back = True
        if not isinstance(record, AdvanceMove):
            return
        assert after.share in STEPS
        position = STEPS.index(after.share)
        last = self.shares[-1]
        assert position == 0 or last == STEPS[position - 1]
        if self.stepped_at is not None:
            assert self.now - self.stepped_at >= DWELL_S
        self.stepped_at = self.now

    @invariant()
    def share_after_rollback(self):
        """No traffic goes to a version after it was rolled back."""
        if not hasattr(self, "log"):
            return
        share = self.log.move.share
        if share != self.shares[-1]:
            self.shares.append(share)
        if self.rolled_back:
            assert share == 0.0


class NoDwellDriver(Driver):
    """Broken: takes steps without any dwell."""

    def step_due(self, move, progress, verdict, now):
        """Always due."""
        return True


class ChangingIdDriver(Driver):
    """Broken: proposes under a new id each time."""

    def repeat_proposal(self, progress, now):
        """Drops the proposal."""
        progress.proposal = None


class HoldIgnoringDriver(Driver):
    """Broken: ignores that the operator holds the move."""

    def decide(self, moves, *args, **kwargs):
        """Treats held moves as running."""
        running = [
            msgspec.structs.replace(move, state=MoveState.RUNNING)
            if move.state is MoveState.HELD
            else move
            for move in moves
        ]
        return super().decide(running, *args, **kwargs)


class RevivingLog(LogOracle):
    """Broken: an advance takes effect after a rollback."""

    def refuses(self, record):
        """Accepts an advance of a move that was rolled back."""
        if (
            isinstance(record, AdvanceMove)
            and self.move.state is MoveState.TAKEN_BACK
        ):
            return False
        return super().refuses(record)


class SkippingLog(LogOracle):
    """Broken: stale records of an earlier step take effect."""

    def refuses(self, record):
        """Ignores the step and the token of an advance."""
        if isinstance(record, AdvanceMove):
            return self.move.state is not MoveState.RUNNING
        return super().refuses(record)


def machine(**attributes):
    """Returns a machine with some parts replaced."""
    return type("Variant", (MovesMachine,), attributes)


class TestMovesFuzz:
    """Drivers, judges and log in any interleaving."""

    def test_fuzz(self):
        """Guards against skipped steps, short dwell, steps after rollback."""
        run_state_machine_as_test(
            MovesMachine,
            settings=hypothesis.settings(
                max_examples=max(100, hypothesis.settings().max_examples // 4),
                stateful_step_count=60,
            ),
        )

    @pytest.mark.parametrize(
        "attributes",
        [
            {"driver_type": NoDwellDriver},
            {"driver_type": ChangingIdDriver},
            {"driver_type": HoldIgnoringDriver},
            {"log_type": RevivingLog},
            {"log_type": SkippingLog},
        ],
        ids=lambda attributes: next(iter(attributes.values())).__name__,
    )
    def test_variant(self, attributes):
        """Guards against a fuzz test that misses broken parts."""
        with pytest.raises(BaseException) as caught:
            run_state_machine_as_test(
                machine(**attributes),
                settings=hypothesis.settings(
                    max_examples=600,
                    stateful_step_count=60,
                    derandomize=True,
                    phases=[hypothesis.Phase.generate],
                    report_multiple_bugs=False,
                    database=None,
                ),
            )
        failures = getattr(caught.value, "exceptions", [caught.value])
        assert all(isinstance(item, AssertionError) for item in failures)
