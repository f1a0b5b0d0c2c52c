"""Tests of docs/log-catalogue.md."""

import pathlib
import re

from vanillamast_sidecar.admission.reason import Reason

ROOT = pathlib.Path(__file__).parents[1]
PAGE = (ROOT / "docs" / "log-catalogue.md").read_text()
SOURCES = ROOT / "packages" / "sidecar" / "src"
KIND = re.compile(r'"((?:[a-z]+)\.(?:[a-z_]+))"')


def kinds() -> set[str]:
    """Returns the kinds of log lines in the node's sources."""
    found = set()
    for path in SOURCES.rglob("*.py"):
        text = path.read_text()
        if ".write(" in text or "_append(" in text:
            found.update(KIND.findall(text))
    return found


class TestLogCatalogue:
    """The page lists exactly the kinds that the node logs, and all reasons."""

    def test_every_kind_is_listed(self):
        """Guards against a line that on-call engineers cannot look up."""
        missing = {kind for kind in kinds() if f"`{kind}`" not in PAGE}
        assert missing == set()

    def test_every_listed_kind_is_written(self):
        """Guards against an entry for a line that is never logged."""
        listed = set(re.findall(r"`([a-z]+\.[a-z_]+)`", PAGE))
        assert listed - kinds() == set()

    def test_every_reason_is_listed(self):
        """Guards against a reason without an explanation."""
        for reason in Reason:
            assert not reason or f"`{reason}`" in PAGE
