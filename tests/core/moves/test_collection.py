"""Tests of the path from single requests to a verdict."""

import random

import pytest
from vanillamast_core.configuration import MoveSpec
from vanillamast_core.moves import (
    EvidenceSettings,
    EvidenceWindow,
    Judge,
    JudgeSettings,
    Move,
    NoRegression,
    Observation,
    Regression,
    Side,
    VersionSplit,
    find_alarms,
    merge_cells,
)

DOMAINS = ("x", "y", "z")
MOVE = Move(
    name="m",
    started_at=4,
    spec=MoveSpec(service="s", old="1", new="2", deadline=1e6),
    step=2,
)
SHARE = 0.2
NODES = 4  # In each failure domain.


class TestCollection:
    """Nodes record, parents merge, judges decide."""

    @pytest.mark.parametrize(
        ("bad", "expected"),
        [(0.0, NoRegression), (0.2, Regression)],
        ids=["good", "bad"],
    )
    def test_verdict(self, bad, expected):
        """Guards against evidence that is lost or counted twice on its way."""
        rng = random.Random(11)
        nodes = [
            (domain, EvidenceWindow(EvidenceSettings(), domain))
            for domain in DOMAINS
            for _ in range(NODES)
        ]
        splits = [VersionSplit(SHARE, rng) for _ in nodes]
        judge = Judge(JudgeSettings(judges=4))
        local = Judge(JudgeSettings(judges=4))
        verdict = judge.verdict(MOVE, 0.0, frozenset(), 6)
        recorded = counted = 0
        for step in range(30):
            for (_, window), split in zip(nodes, splits, strict=True):
                for _ in range(20):
                    new = split.choose()
                    server = rng.randrange(6)
                    observation = Observation(
                        move=4,
                        route="r",
                        side=Side.NEW if new else Side.OLD,
                        instance=f"{'new' if new else 'old'}-{server}",
                        server_domain=DOMAINS[server % 3],
                        failed=rng.random() < (bad if new else 0.01),
                        latency_s=rng.lognormvariate(-4.0, 0.4),
                    )
                    window.record(observation, 2.0 * step + 1.0)
                    recorded += 1
            wall = 2.0 * step + 2.0
            for domain in DOMAINS:
                merged = ()
                for name, window in nodes:
                    if name == domain:
                        merged = merge_cells(merged, window.drain(wall))
                counted += sum(cell.requests for cell in merged)
                judge.add(merged)
                if domain == "x":
                    local.add(merged)
            verdict = judge.verdict(MOVE, wall, frozenset(), 6)
            alarms = find_alarms(local, [MOVE], wall, frozenset(), {4: 6})
            if isinstance(verdict, expected) and bool(alarms) == bool(bad):
                break
        assert isinstance(verdict, expected)
        assert bool(alarms) == bool(bad)
        assert counted == recorded
