"""Runs the scenario scripts of this folder, one test per script and target.

The first line of a script names its targets.
"""

import os
import pathlib
import random

import pytest
from vanillamast_testing import (
    CoreScenarioTarget,
    Fleet,
    FleetScenarioTarget,
    FleetSettings,
    parse_scenario,
    run_scenario,
)

FOLDER = pathlib.Path(__file__).parent
SCRIPTS = sorted(FOLDER.glob("*.scenario"))
TARGETS_PREFIX = "# targets: "
SEED = int(os.environ.get("VANILLAMAST_SEED", "1"))


def targets_of(script: pathlib.Path) -> list[str]:
    """Returns the names of the targets that a script runs against."""
    first_line = script.read_text().splitlines()[0]
    assert first_line.startswith(TARGETS_PREFIX), (
        f"{script.name} names no targets"
    )
    return first_line.removeprefix(TARGETS_PREFIX).split(", ")


def for_target(name: str) -> list[pathlib.Path]:
    """Returns the scripts of a target."""
    return [script for script in SCRIPTS if name in targets_of(script)]


class TestScenarios:
    """Failures of design section 1.5, alone, in pairs and twice."""

    @pytest.mark.parametrize(
        "script", for_target("core"), ids=lambda script: script.stem
    )
    async def test_core(self, script: pathlib.Path):
        """Guards against the failure that the script's comment names."""
        target = CoreScenarioTarget(SEED, FOLDER)
        lines = parse_scenario(script.read_text())
        report = await run_scenario(lines, target)
        assert report.held, report.failures()

    @pytest.mark.parametrize(
        "script", for_target("fleet"), ids=lambda script: script.stem
    )
    async def test_fleet(self, script: pathlib.Path, tmp_path: pathlib.Path):
        """Guards against the failure that the script's comment names."""
        settings = FleetSettings(
            directory=tmp_path,
            network=f"127.{random.randint(16, 250)}.{random.randint(1, 250)}",
            failure_domains=("a", "b", "c"),
            node_settings={"requests": {"key_margin_s": 1.0}},
        )
        lines = parse_scenario(script.read_text())
        async with Fleet(settings) as fleet:
            target = FleetScenarioTarget(fleet, FOLDER)
            report = await run_scenario(lines, target)
        assert report.held, report.failures()

    def test_scripts_name_failures(self):
        """Guards against scripts that no target runs or that guard nothing."""
        for script in SCRIPTS:
            assert set(targets_of(script)) <= {"core", "fleet"}
            assert "# Guards against" in script.read_text().splitlines()[1]
