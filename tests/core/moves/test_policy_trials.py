"""Statistical tests of the driver and the judges on a model of traffic.

Every trial has a fixed seed. In N trials of a sound version, at most N * alpha
rollbacks are expected, which is 0.003 for N = 3. The variant of a check
disables a rule, and the same trials must then fail. Checks without a variant
have one in the tests of the judge.
"""

import dataclasses

import pytest
from vanillamast_core.moves import regression_evidence as regression_module
from vanillamast_core.moves.leave_one_out import LeaveOneOutTest
from vanillamast_core.moves.move_evidence import MoveEvidence
from vanillamast_core.moves.verdict_tests import RATE_RATIOS
from vanillamast_testing.bench_moves import Deployment, run_trial
from vanillamast_testing.bench_moves import traffic as traffic_module

SMALL_DEPLOYMENT = Deployment(
    name="small",
    domains=3,
    servers=4,
    rate=200.0,
    routes={"many": 0.6, "some": 0.3, "few": 0.1},
    median_ms=50.0,
    deadline_s=240.0,
    watch_s=30.0,
)
# The noise of an hour is only excluded while both versions have traffic.
WITHOUT_WATCH = dataclasses.replace(SMALL_DEPLOYMENT, watch_s=0.0)
# Few slots, so that a surge of traffic slows both versions.
FEW_SLOTS = dataclasses.replace(WITHOUT_WATCH, slots=3)
SEEDS = range(1, 4)


def judge_all_instances_together(monkeypatch):
    """Disables all rules about parts of the new version."""
    monkeypatch.setattr(
        LeaveOneOutTest,
        "e_value",
        lambda self, sole: self.unused_weight + self.all_instances.total(),
    )
    monkeypatch.setattr(
        MoveEvidence, "dead_instances_since", lambda self, stratum: set()
    )


def compare_with_constant(monkeypatch):
    """Compares the new version with a constant, not with the old one."""
    monkeypatch.setattr(
        regression_module,
        "conditional_log_ratios",
        lambda counts, ratios, margin: regression_module.baseline_log_ratios(
            0.1, [9.0] * 3, RATE_RATIOS
        ),
    )


def count_cold(monkeypatch):
    """Counts the latency of cold servers."""
    monkeypatch.setattr(traffic_module, "COLD_S", 0.0)


class TestSoundVersions:
    """Sound versions complete their moves in time."""

    @pytest.mark.parametrize(
        ("condition", "deployment", "variant"),
        [
            ("good", SMALL_DEPLOYMENT, None),
            ("good_noisy_hour", WITHOUT_WATCH, compare_with_constant),
            ("good_load_surge", FEW_SLOTS, None),
            (
                "good_one_bad_instance",
                SMALL_DEPLOYMENT,
                judge_all_instances_together,
            ),
            ("good_rack_lost", SMALL_DEPLOYMENT, judge_all_instances_together),
            ("good_domain_lost", SMALL_DEPLOYMENT, None),
            ("good_cold_starts", SMALL_DEPLOYMENT, count_cold),
        ],
        ids=lambda value: value if isinstance(value, str) else "",
    )
    def test_no_take_back(self, monkeypatch, condition, deployment, variant):
        """Guards against the rollback of a sound version."""
        for seed in SEEDS:
            result = run_trial(deployment, condition, "evidence", seed)
            assert result.state == "settled", result
            assert result.in_time, result
        if variant is None:
            return
        variant(monkeypatch)
        assert any(
            run_trial(deployment, condition, "evidence", seed).state
            == "taken_back"
            for seed in SEEDS
        )


class TestBadVersions:
    """Failing versions are rolled back at a small share of the traffic."""

    # Largest part of all requests of the move that the version may get while
    # it fails. The steps bound a regression that is found before share 0.5
    # (0.25 of the traffic for half of the time would be 0.125). One that
    # starts at share 1 may last 30 s of the 270 s.
    @pytest.mark.parametrize(
        ("condition", "limit"),
        [
            ("bad_at_once", 0.01),
            ("bad_mild", 0.125),
            ("bad_midway", 0.125),
            ("bad_under_load", 0.125),
            ("bad_one_route", 0.125),
            ("bad_connect", 0.01),
            ("slow_at_once", 0.01),
            ("bad_later", 0.111),
        ],
    )
    def test_taken_back(self, condition, limit, record_property):
        """Guards against a failing version that stays or gets much traffic."""
        for seed in (1, 2, 3):
            result = run_trial(SMALL_DEPLOYMENT, condition, "evidence", seed)
            record_property(f"exposure {seed}", result.exposure)
            assert result.state == "taken_back", result
            assert result.exposure <= limit, result
