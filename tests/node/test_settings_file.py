"""Tests of the node's settings file."""

import pathlib
import subprocess
import sys

import pytest
from vanillamast_node.settings_error import SettingsError
from vanillamast_node.settings_file import load_settings

EXAMPLE = pathlib.Path(__file__).parents[2] / "docs" / "node.example.yaml"


def run_check(path: pathlib.Path) -> subprocess.CompletedProcess[str]:
    """Runs `vanillamastd --check`."""
    return subprocess.run(
        [sys.executable, "-m", "vanillamast_node.main", "--check", str(path)],
        capture_output=True,
        text=True,
        check=False,
    )


class TestSettingsFile:
    """Loading and rejecting settings files."""

    def test_example_in_the_docs_loads(self):
        """Guards against a documented key that does not exist."""
        assert load_settings(str(EXAMPLE)).instance == "browse-1"
        assert run_check(EXAMPLE).returncode == 0

    @pytest.mark.parametrize(
        ("old", "new", "parts"),
        [
            ("edge: true", "edgy: true", ("edgy", "unknown key", "edge")),
            ("edge: true", "edge: 3", ("edge", "3", "bool")),
            ("poll_s: 10 ", "poll_s: -1 ", ("platform.poll_s", "-1", "> 0")),
            ("region: uy-sur\n", "", ("region", "missing")),
            ("10.0.0.1:8001 ", "nowhere ", ("listen.peers", "nowhere")),
            ("instance:", "instance: [", ("YAML",)),
        ],
    )
    def test_invalid_file_is_reported_in_one_line(
        self, tmp_path: pathlib.Path, old: str, new: str, parts: tuple[str, ...]
    ):
        """Guards against a start with invalid settings, or a vague message."""
        text = EXAMPLE.read_text()
        assert old in text
        path = tmp_path / "node.yaml"
        path.write_text(text.replace(old, new, 1))
        result = run_check(path)
        assert result.returncode == 2
        lines = result.stderr.strip().splitlines()
        assert len(lines) == 1, lines
        for part in (str(path), *parts):
            assert part in lines[0]

    def test_missing_file(self, tmp_path: pathlib.Path):
        """Guards against a traceback for a path that does not exist."""
        path = tmp_path / "none.yaml"
        with pytest.raises(SettingsError):
            load_settings(str(path))
        assert run_check(path).returncode == 2
