"""Tests that only the adapter depends on the platform."""

import ast
import pathlib
import re
import tomllib

import pytest
from vanillamast_platform.boot_file import (
    METRICS_PORT,
    BootFile,
    load_settings,
)
from vanillamast_sidecar.errors import InvalidSettingsError
from vanillamast_testing.emulator.machine import Machine

ROOT = pathlib.Path(__file__).parents[2]
NEUTRAL_PACKAGES = ("core", "node", "cli", "sidecar")
PLATFORM_NAMES = re.compile(
    r"log-(append|read|newest|join)\b|keyed\.|x-vanillamast-"
    r"|vanillamast_boot|traffic_split|heartbeat_addr|entry_type|path_prefix\""
    r"|/api/(ready|instances)|cold_left_s|max_concurrency\b",
    re.IGNORECASE,
)


def sources() -> list[pathlib.Path]:
    """Returns the source files that must not depend on the platform."""
    return [
        path
        for package in NEUTRAL_PACKAGES
        for path in (ROOT / "packages" / package / "src").rglob("*.py")
    ]


class TestBoundaries:
    """Nothing outside `platform/` depends on the platform."""

    def test_other_packages_do_not_import_the_adapter(self):
        """Guards against decisions that depend on the platform."""
        for path in sources():
            for node in ast.walk(ast.parse(path.read_text())):
                names = []
                if isinstance(node, ast.Import):
                    names = [alias.name for alias in node.names]
                elif isinstance(node, ast.ImportFrom):
                    names = [node.module or ""]
                for name in names:
                    assert not name.startswith("vanillamast_platform"), path

    def test_other_packages_do_not_use_the_platforms_names(self):
        """Guards against wire names that are decoded in two places."""
        for path in sources():
            found = PLATFORM_NAMES.search(path.read_text())
            assert found is None, (path, found)


class TestBootFile:
    """The settings file of a process."""

    def write_settings(self, folder: pathlib.Path) -> Machine:
        """Writes the settings of a machine."""
        return Machine("m1", "127.0.0.1", "z0", "s", "127.0.0.9", 1, folder)

    def test_a_whole_file(self, tmp_path):
        """Guards against fields that are read under a wrong name."""
        machine = self.write_settings(tmp_path)
        settings, store = load_settings(str(machine.settings))
        assert settings.failure_domain == "z0"
        assert settings.bounds.retry_slack == 60.0
        assert str(store.address) == "127.0.0.9:1"

    @pytest.mark.parametrize(
        ("old", "new"),
        [
            ('node = "m1"', ""),
            ("drain_s = 2", 'drain_s = "soon"'),
            ('outbound = "127.0.0.1:18304"', 'outbound = "nowhere"'),
            ("[bounds]", "[bounds"),
            ('ip = "127.0.0.1"', "ip = []"),
        ],
    )
    def test_an_invalid_file_is_a_typed_error(self, tmp_path, old, new):
        """Guards against a node that starts with partial settings."""
        machine = self.write_settings(tmp_path)
        text = machine.settings.read_text()
        assert old in text
        machine.settings.write_text(text.replace(old, new))
        with pytest.raises(InvalidSettingsError):
            load_settings(str(machine.settings))

    def test_a_change_shows_in_the_fingerprint(self, tmp_path):
        """Guards against changes that are missed without a signal."""
        machine = self.write_settings(tmp_path)
        source = BootFile(str(machine.settings))
        before = source.fingerprint()
        assert source.fingerprint() == before
        text = machine.settings.read_text()
        machine.settings.write_text(text + "\n# changed\n")
        assert source.fingerprint() != before


class TestDeployFile:
    """The deploy file and the adapter agree."""

    def test_the_metrics_address(self):
        """Guards against metrics that are scraped at the wrong port."""
        text = (ROOT / "deploy" / "system.toml").read_text()
        role = tomllib.loads(text)["roles"]["node"]
        assert role["metrics"] == f"{METRICS_PORT}/metrics"
