"""Tests of the verdict on new versions, rule by rule."""

import random

import msgspec
import pytest
from vanillamast_core.configuration import MoveSpec
from vanillamast_core.moves import (
    OTHERS,
    EvidenceCell,
    Judge,
    JudgeSettings,
    Move,
    MoveState,
    NoRegression,
    Regression,
    Side,
    Undecided,
    find_alarms,
)
from vanillamast_core.moves import leave_one_out as leave_one_out_module
from vanillamast_core.moves import regression_evidence as regression_module
from vanillamast_core.moves.change_point_mixture import (
    ChangePointMixture,
    change_point_weight,
    to_likelihood_ratios,
)
from vanillamast_core.moves.leave_one_out import (
    InstanceCounts,
    LeaveOneOutTest,
    StratumCounts,
)
from vanillamast_core.moves.regression_evidence import conditional_log_ratios
from vanillamast_core.moves.verdict_tests import RATE_RATIOS

SETTINGS = JudgeSettings(judges=1)
MOVE = Move(
    name="m",
    started_at=1,
    spec=MoveSpec(service="s", old="1", new="2", deadline=1e6),
    step=2,
)
DONE = msgspec.structs.replace(
    MOVE,
    step=4,
    state=MoveState.DONE,
    baseline_failure_ratio=0.002,
    baseline_slow_ms=20.0,
)
NO_INSTANCES = frozenset()
FAST, SLOW = 13, 18  # Latency bins of about 10 ms and 51 ms.


def make_cell(
    bucket, side, requests, instance="", domain="", route="a", **counts
):
    """Returns a cell of one caller failure domain."""
    bad = counts.get("failures", 0) + counts.get("connect_failures", 0)
    counts.setdefault("latency", {FAST: requests - bad})
    return EvidenceCell(
        move=1,
        route=route,
        failure_domain="x",
        bucket=bucket,
        side=side,
        instance=instance,
        server_domain=domain,
        requests=requests,
        **counts,
    )


def make_new_cells(bucket, bad, kind="failures", requests=20, servers=4):
    """Returns cells of the new version; `bad` maps server index to count."""
    return [
        make_cell(
            bucket,
            Side.NEW,
            requests,
            f"n{index}",
            f"d{index % 3}",
            **{kind: bad.get(index, 0)},
        )
        for index in range(servers)
    ]


def run(judge, batches, move=MOVE, dead=NO_INSTANCES, instances=4):
    """Adds one batch for each bucket; returns the first Regression verdict.

    Without one, the last verdict is returned.
    """
    verdict = judge.verdict(move, 0.0, dead, instances)
    for bucket, cells in enumerate(batches, start=1):
        judge.add(cells)
        wall = 2.0 * bucket + 6.0
        verdict = judge.verdict(move, wall, dead, instances)
        if isinstance(verdict, Regression):
            return verdict
    return verdict


def make_batches(count, make_new, old_bad=0, old_requests=200):
    """Returns buckets with equal counts of the old version."""
    return [
        [
            make_cell(bucket, Side.OLD, old_requests, failures=old_bad),
            *make_new(bucket),
        ]
        for bucket in range(1, count + 1)
    ]


class TestKinds:
    """Each kind of bad outcome leads to a Regression verdict."""

    @pytest.mark.parametrize("kind", ["failures", "connect_failures"])
    def test_failures(self, kind):
        """Guards against a regression that is never detected."""
        bad = dict.fromkeys(range(4), 4)
        verdict = run(
            Judge(SETTINGS),
            make_batches(20, lambda b: make_new_cells(b, bad, kind)),
        )
        assert isinstance(verdict, Regression)
        assert verdict.reason == kind

    def test_slow(self):
        """Guards against an undetected slow version.

        If both versions are slow, there is no verdict against the new one.
        """

        def slow_new(bucket):
            cells = make_new_cells(bucket, {})
            for item in cells:
                item.latency = {SLOW if bucket > 5 else FAST: 20}
            return cells

        one = run(Judge(SETTINGS), make_batches(20, slow_new))
        assert isinstance(one, Regression)
        assert one.reason == "slow_answers"
        both = make_batches(20, slow_new)
        for batch in both[5:]:
            batch[0].latency = {SLOW: 200}
        assert not isinstance(run(Judge(SETTINGS), both), Regression)

    def test_one_route(self):
        """Guards against a regression on one route that the others dilute."""

        def make(bucket):
            rare = make_new_cells(
                bucket, dict.fromkeys(range(4), 1), requests=2
            )
            for item in rare:
                item.route = "rare"
            many = make_new_cells(
                bucket, dict.fromkeys(range(4), 2), requests=400
            )
            return [*rare, make_cell(bucket, Side.OLD, 10, route="rare"), *many]

        verdict = run(
            Judge(SETTINGS),
            make_batches(30, make, old_bad=20, old_requests=4000),
        )
        assert isinstance(verdict, Regression)
        assert verdict.route == "rare"

    def test_alarm(self):
        """Guards against a node with evidence that raises no alarm."""
        judge = Judge(SETTINGS)
        bad = dict.fromkeys(range(4), 4)
        run(judge, make_batches(20, lambda b: make_new_cells(b, bad)))
        alarms = find_alarms(judge, [MOVE], 60.0, NO_INSTANCES, {1: 4})
        assert [started_at for started_at, _ in alarms] == [1]
        ended = msgspec.structs.replace(MOVE, state=MoveState.STOPPED)
        assert find_alarms(judge, [ended], 60.0, NO_INSTANCES, {1: 4}) == []
        assert judge.moves == {}
        assert find_alarms(judge, [MOVE], 60.0, NO_INSTANCES, {1: 4}) == []


class TestParts:
    """Parts of a good version may be broken."""

    def disable_rule(self, monkeypatch, variant):
        """Disables a rule of the judge."""
        if variant == "without leave-one-out":
            monkeypatch.setattr(
                LeaveOneOutTest,
                "e_value",
                lambda self, sole: (
                    self.unused_weight + self.all_instances.total()
                ),
            )
        elif variant == "without domains":
            whole = LeaveOneOutTest.e_value

            def without(self, sole):
                self.without_domain = {}
                return whole(self, sole)

            monkeypatch.setattr(LeaveOneOutTest, "e_value", without)
        elif variant == "without liveness":
            monkeypatch.setattr(
                "vanillamast_core.moves.move_evidence.MoveEvidence.dead_instances_since",
                lambda self, stratum: set(),
            )

    @pytest.mark.parametrize("variant", ["", "without leave-one-out"])
    def test_bad_instance(self, monkeypatch, variant):
        """Guards against one bad instance that rejects a good version."""
        self.disable_rule(monkeypatch, variant)
        verdict = run(
            Judge(SETTINGS),
            make_batches(60, lambda b: make_new_cells(b, {1: 20}), old_bad=1),
        )
        assert isinstance(verdict, Regression) == bool(variant)

    @pytest.mark.parametrize("kind", ["failures", "connect_failures"])
    @pytest.mark.parametrize("variant", ["", "without domains"])
    def test_lost_domain(self, monkeypatch, variant, kind):
        """Guards against rejection because a failure domain is lost."""
        self.disable_rule(monkeypatch, variant)
        lost = {0: 20, 3: 20}  # Both are in d0.
        verdict = run(
            Judge(SETTINGS),
            make_batches(
                20, lambda b: make_new_cells(b, lost, kind, servers=6)
            ),
        )
        assert isinstance(verdict, Regression) == bool(variant)

    @pytest.mark.parametrize("variant", ["", "without liveness"])
    def test_dead_instances(self, monkeypatch, variant):
        """Guards against counting instances that are found dead 8 s later.

        They are in two failure domains, so that no single part explains them.
        """
        self.disable_rule(monkeypatch, variant)
        judge = Judge(SETTINGS)
        verdicts = []
        for bucket in range(1, 30):
            bad = {1: 1, 2: 1} if 8 <= bucket < 12 else {}
            judge.add(
                [
                    make_cell(bucket, Side.OLD, 200),
                    *make_new_cells(bucket, bad, "connect_failures"),
                ]
            )
            dead = frozenset({"n1", "n2"} if bucket >= 12 else ())
            verdicts.append(
                judge.verdict(MOVE, 2.0 * bucket + 6.0, dead, 4).e_value
            )
        assert (verdicts[-1] > 4.0) == bool(variant)

    def test_sole_instance(self):
        """Guards against a version of one instance that gets no verdict.

        A judge that saw one instance of several must not treat it as the only
        one.
        """
        bad = make_batches(30, lambda b: make_new_cells(b, {0: 10}, servers=1))
        assert isinstance(run(Judge(SETTINGS), bad, instances=1), Regression)
        assert not isinstance(
            run(Judge(SETTINGS), bad, instances=4), Regression
        )
        assert not isinstance(
            run(Judge(SETTINGS), bad, instances=None), Regression
        )

    @pytest.mark.parametrize("variant", ["", "unnamed are one instance"])
    def test_unnamed_instance(self, monkeypatch, variant):
        """Guards against a bad instance that only some nodes name."""
        if variant:
            monkeypatch.setattr(leave_one_out_module, "OTHERS", "nobody")

        def make(bucket):
            cells = make_new_cells(bucket, {3: 10, 4: 10}, servers=5)
            cells[4].instance = cells[4].server_domain = OTHERS
            return cells

        verdict = run(
            Judge(SETTINGS), make_batches(20, make, old_bad=1), instances=9
        )
        assert isinstance(verdict, Regression) == bool(variant)


class TestErrorRate:
    """The probability of a false verdict is as stated."""

    PATHS = 1500
    STRATA = 60
    ALPHA = 0.05

    def crossings(self, ratio=1.0, margin=1.0, weight=change_point_weight):
        """Returns how many paths ever reach 1 / ALPHA.

        The common rate differs from stratum to stratum, up to 30%.

        Args:
          ratio: Rate of the new version divided by the old one's.
          margin: Margin of the test.
          weight: Weight of a change at a stratum.
        """
        rng = random.Random(1)
        count = 0
        for _ in range(self.PATHS):
            mixture = ChangePointMixture([0.0] * 3)
            unused_weight = 1.0
            for stratum in range(1, self.STRATA + 1):
                rate = rng.choice((0.01, 0.05, 0.3)) / ratio
                old = sum(rng.random() < rate for _ in range(20))
                new = sum(rng.random() < rate * ratio for _ in range(8))
                if not old + new:
                    continue
                unused_weight = max(0.0, unused_weight - weight(stratum))
                mixture.add_change_point(weight(stratum))
                counts = StratumCounts(
                    stratum, old, 20, [InstanceCounts("n", "d", new, 8)]
                )
                ratios = conditional_log_ratios(counts, RATE_RATIOS, margin)
                mixture.multiply(to_likelihood_ratios(ratios(new, 8)))
                if unused_weight + mixture.total() >= 1.0 / self.ALPHA:
                    count += 1
                    break
        return count

    def bound(self):
        """Returns the stated number plus three standard deviations."""
        expected = self.PATHS * self.ALPHA
        return expected + 3.0 * expected**0.5

    def test_always_valid(self):
        """Guards against false verdicts under continuous monitoring.

        The variant gives each change point the full weight, which amounts to
        picking the best one afterwards; it must be caught.
        """
        assert self.crossings() <= self.bound()
        assert self.crossings(weight=lambda stratum: 1.0) > self.bound()

    def test_margin(self):
        """Guards against a margin that does not cover its own ratio."""
        assert self.crossings(ratio=1.5, margin=1.5) <= self.bound()
        assert self.crossings(ratio=1.5, margin=1.0) > self.bound()

    @pytest.mark.parametrize("variant", ["", "unconditional"])
    def test_common_bursts(self, monkeypatch, variant):
        """Guards against bursts in both versions that count against one.

        In twenty moves, at most 20 * alpha = 0.02 rejections are expected.
        """
        if variant:
            monkeypatch.setattr(
                regression_module,
                "conditional_log_ratios",
                lambda counts, ratios, margin: (
                    regression_module.baseline_log_ratios(
                        0.01, [9.0] * 3, RATE_RATIOS
                    )
                ),
            )
        rng = random.Random(7)
        rejected = 0
        for _ in range(20):
            made = []
            for bucket in range(1, 60):
                rate = 0.4 if bucket % 20 > 16 else 0.005
                draw = [
                    sum(rng.random() < rate for _ in range(20))
                    for _ in range(14)
                ]
                made.append(
                    [
                        make_cell(
                            bucket, Side.OLD, 200, failures=sum(draw[:10])
                        ),
                        *make_new_cells(bucket, dict(enumerate(draw[10:]))),
                    ]
                )
            rejected += isinstance(run(Judge(SETTINGS), made), Regression)
        assert (rejected > 0) == bool(variant)


class TestTime:
    """Evidence may come late and in any portions."""

    def test_late_cells(self):
        """Guards against loss of cells that come up to 14 s late."""
        judge = Judge(SETTINGS)
        bad = dict.fromkeys(range(4), 4)
        verdict = judge.verdict(MOVE, 0.0, NO_INSTANCES, 4)
        made = make_batches(20, lambda b: make_new_cells(b, bad))
        for step in range(1, 30):
            late = step - 7
            if late >= 0 and late < 20:
                judge.add(made[late][1:])
            if step <= 20:
                judge.add(made[step - 1][:1])
            verdict = judge.verdict(MOVE, 2.0 * step + 2.0, NO_INSTANCES, 4)
        assert isinstance(verdict, Regression)

    def test_order_of_batches(self):
        """Guards against verdicts that depend on how cells are batched."""
        bad = dict.fromkeys(range(4), 1)
        made = make_batches(12, lambda b: make_new_cells(b, bad), old_bad=3)
        values = []
        for seed in range(5):
            judge = Judge(SETTINGS)
            judge.verdict(MOVE, 0.0, NO_INSTANCES, 4)
            for batch in made:
                cells = list(batch)
                random.Random(seed).shuffle(cells)
                for item in cells:
                    judge.add([item])
                wall = 2.0 * batch[0].bucket + 6.0
                verdict = judge.verdict(MOVE, wall, NO_INSTANCES, 4)
            values.append(verdict.e_value)
        assert values == pytest.approx([values[0]] * 5)

    def test_open_bucket(self):
        """Guards against use of a bucket before its cells have arrived."""
        judge = Judge(SETTINGS)
        judge.add(make_new_cells(1, dict.fromkeys(range(4), 20)))
        judge.add([make_cell(1, Side.OLD, 20)])
        assert judge.verdict(MOVE, 4.0, NO_INSTANCES, 4).e_value == 1.0
        assert judge.verdict(MOVE, 8.0, NO_INSTANCES, 4).e_value > 1.0

    def test_bounded(self):
        """Guards against memory that grows with names, moves and time."""
        judge = Judge(SETTINGS)
        for index in range(400):
            items = make_new_cells(index, {0: 1}, servers=20)
            for item in items:
                item.route = f"r{index}"
                item.instance += str(index)
                item.server_domain = f"d{index}"
                item.failure_domain = f"f{index}"
                item.move = 1 + index % 100
            judge.add(items)
        for _ in range(3):
            judge.add(make_new_cells(5, {}))
        assert len(judge.moves) == SETTINGS.max_moves
        assert 1 in judge.moves
        judge.add(
            [msgspec.structs.replace(make_cell(900, Side.OLD, 1), move=500)]
        )
        assert len(judge.moves) == SETTINGS.max_moves
        assert 500 in judge.moves
        judge = Judge(SETTINGS)
        for index in range(3000):
            item = make_cell(index, Side.NEW, 5, f"n{index}", f"d{index}")
            judge.add([msgspec.structs.replace(item, route=f"r{index}")])
            if index % 100 == 0:
                judge.verdict(MOVE, 2.0 * index, NO_INSTANCES)
        evidence = judge.moves[1]
        assert len(evidence.open_strata) <= SETTINGS.max_strata
        assert len(evidence.pending_strata) <= SETTINGS.max_strata
        assert len(evidence.named_instances) <= SETTINGS.max_instances
        assert len(evidence.routes) <= SETTINGS.max_routes
        assert len(evidence.old_latencies) <= (SETTINGS.max_routes + 1) * (
            SETTINGS.max_domains + 1
        )

    @pytest.mark.parametrize(
        "changes",
        [
            {"failures": 30},
            {"connect_failures": -1},
            {"latency": {FAST: 21}},
            {"latency": {500: 1}},
            {"instance": ""},
        ],
    )
    def test_inconsistent(self, changes):
        """Guards against a peer's impossible counts that stop the judge."""
        judge = Judge(SETTINGS)
        wrong = make_new_cells(1, {}, servers=1)[0]
        judge.add([msgspec.structs.replace(wrong, **changes)])
        assert judge.dropped == 1
        assert judge.moves == {}

    def test_wrong_clock(self):
        """Guards against a node whose clock is ahead that fills the judge."""
        judge = Judge(SETTINGS)
        bad = dict.fromkeys(range(4), 4)
        for bucket, batch in enumerate(
            make_batches(20, lambda b: make_new_cells(b, bad)), start=1
        ):
            judge.add([make_cell(10**6 + bucket, Side.OLD, 5)])
            judge.add(batch)
            verdict = judge.verdict(MOVE, 2.0 * bucket + 6.0, NO_INSTANCES, 4)
        assert isinstance(verdict, Regression)
        assert len(judge.moves[1].open_strata) < 10


class TestNoRegression:
    """NoRegression needs evidence from this step."""

    def test_no_bad_outcomes(self):
        """Guards against a good version that waits for its slots."""
        made = make_batches(12, lambda b: make_new_cells(b, {}))
        early = run(Judge(SETTINGS), made[:1])
        assert isinstance(early, Undecided)
        assert isinstance(run(Judge(SETTINGS), made), NoRegression)

    def test_noisy(self):
        """Guards against noise on both versions that hides a good one."""
        bad = dict.fromkeys(range(4), 2)
        made = make_batches(60, lambda b: make_new_cells(b, bad), old_bad=20)
        assert isinstance(run(Judge(SETTINGS), made), NoRegression)

    def test_new_step(self):
        """Guards against evidence of a small share that counts for a large."""
        judge = Judge(SETTINGS)
        run(judge, make_batches(40, lambda b: make_new_cells(b, {})))
        later = msgspec.structs.replace(MOVE, step=3)
        verdict = judge.verdict(later, 87.0, NO_INSTANCES, 4)
        assert isinstance(verdict, Undecided)

    def test_wrong_good(self):
        """Guards against NoRegression for three times the failures.

        The stated error is 2 / clear_level = 10% for each kind, at a ratio of
        2; the bound adds three standard deviations.
        """
        rng = random.Random(3)
        wrong = 0
        for _ in range(60):
            judge = Judge(SETTINGS)
            judge.verdict(MOVE, 0.0, NO_INSTANCES, 4)
            for bucket in range(1, 60):
                bad = {
                    i: sum(rng.random() < 0.06 for _ in range(20))
                    for i in range(4)
                }
                old = sum(rng.random() < 0.02 for _ in range(200))
                judge.add(
                    [
                        make_cell(bucket, Side.OLD, 200, failures=old),
                        *make_new_cells(bucket, bad),
                    ]
                )
                wall = 2.0 * bucket + 6.0
                verdict = judge.verdict(MOVE, wall, NO_INSTANCES, 4)
                wrong += isinstance(verdict, NoRegression)
                if not isinstance(verdict, Undecided):
                    break
        assert wrong <= 6 + 3 * 6**0.5


class TestDone:
    """After share 1, the new version is compared with the baseline."""

    def make_batches(self, count, bad, first=1, latency=FAST):
        """Returns buckets without traffic on the old version."""
        batch = []
        for bucket in range(1, count + 1):
            cells = make_new_cells(bucket, bad if bucket >= first else {})
            for item in cells:
                warm = item.requests - item.failures
                item.latency = {latency if bucket >= first else FAST: warm}
            batch.append(cells)
        return batch

    def test_bad_later(self):
        """Guards against missing failures that start after share 1."""
        bad = dict.fromkeys(range(4), 4)
        verdict = run(
            Judge(SETTINGS), self.make_batches(40, bad, first=20), DONE
        )
        assert isinstance(verdict, Regression)

    def test_slow_later(self):
        """Guards against missing slow responses that start after share 1."""
        slow = self.make_batches(40, {}, first=20, latency=SLOW)
        verdict = run(Judge(SETTINGS), slow, DONE)
        assert isinstance(verdict, Regression)
        assert verdict.reason == "slow_answers"

    @pytest.mark.parametrize("variant", ["", "without cap"])
    def test_short_disturbance(self, monkeypatch, variant):
        """Guards against rejection because of two disturbed buckets."""
        if variant:
            monkeypatch.setattr(
                regression_module.RegressionEvidence,
                "remaining_budget",
                lambda self, kind, bucket: [99.0] * 3,
            )
        made = self.make_batches(40, {})
        for batch in made[20:22]:
            for item in batch:
                item.failures = 15
                item.latency = {FAST: 5}
        verdict = run(Judge(SETTINGS), made, DONE)
        assert isinstance(verdict, Regression) == bool(variant)

    def test_tolerated(self):
        """Guards against rejections within the tolerated failure ratio.

        The probability of one is at most alpha while each request fails with a
        probability of at most max(done_floor, done_factor * baseline). The
        test runs 40 moves of 100 s at that probability.
        """
        rng = random.Random(2)
        move = msgspec.structs.replace(DONE, baseline_failure_ratio=0.04)
        for _ in range(40):
            made = [
                make_new_cells(
                    bucket,
                    {
                        i: sum(rng.random() < 0.06 for _ in range(20))
                        for i in range(4)
                    },
                )
                for bucket in range(1, 50)
            ]
            assert not isinstance(run(Judge(SETTINGS), made, move), Regression)

    def test_baseline(self):
        """Guards against a baseline that omits the worst window."""
        judge = Judge(SETTINGS)
        made = make_batches(40, lambda b: make_new_cells(b, {}), old_bad=1)
        for batch in made[10:15]:
            batch[0].failures = 20
            batch[0].latency = {FAST: 180}
        run(judge, made)
        baseline = judge.baseline(1)
        assert baseline.failure_ratio == pytest.approx(0.1, abs=0.03)
        assert 9.0 < baseline.slow_ms < 20.0
