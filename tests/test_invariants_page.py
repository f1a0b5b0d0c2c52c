"""Tests of docs/invariants.md."""

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / "docs" / "invariants.md"
CONDITIONS = (
    "no-rollback",
    "no-dangling-route",
    "all-or-nothing",
    "bounded-exposure",
    "whole-answer",
    "honest-refusal",
    "at-most-once",
    "leaving-quiet",
    "graceful-stop",
    "in-force",
)


class TestInvariantsPage:
    """The page names only tests that exist."""

    def test_all_conditions_have_a_row_with_a_test(self):
        """Guards against a condition without a named test."""
        text = PAGE.read_text()
        for condition in CONDITIONS:
            assert re.search(rf"^\| {condition} \| .*`", text, re.M), condition

    def test_named_tests_exist(self):
        """Guards against a named test that was renamed or removed."""
        names = re.findall(r"`([\w/]+\.py)::(\w+)`", PAGE.read_text())
        assert names
        for path, subject in names:
            source = (ROOT / "tests" / path).read_text()
            defined = re.search(
                rf"^(class {subject}\b|{subject}\b.* = )", source, re.M
            )
            assert defined, (path, subject)

    def test_named_scenarios_exist(self):
        """Guards against a scenario that was renamed or removed."""
        names = re.findall(r"`(\w+\.scenario)`", PAGE.read_text())
        assert names
        for name in names:
            assert (ROOT / "tests" / "scenarios" / name).exists(), name
