"""Tests of differences between configurations."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_core.configuration import (
    CallerClass,
    Configuration,
    ConfigurationError,
    MoveSpec,
    Remove,
    Route,
    Service,
    apply_changes,
    change_target,
    diff,
)

NAMES = st.sampled_from("abc")
CONFIGURATIONS = st.builds(
    Configuration,
    services=st.dictionaries(NAMES, st.builds(Service, NAMES)),
    routes=st.dictionaries(NAMES, st.builds(Route, NAMES, NAMES)),
    classes=st.dictionaries(NAMES, st.builds(CallerClass, st.integers(0, 2))),
    moves=st.dictionaries(
        NAMES, st.builds(MoveSpec, NAMES, NAMES, NAMES, st.just(1.0))
    ),
)


class TestDiff:
    """`diff` and `apply_changes` are inverse to each other."""

    @given(CONFIGURATIONS, CONFIGURATIONS)
    def test_changes_lead_from_old_to_new_and_touch_no_more_fuzz(
        self, old, new
    ):
        """Guards against lost changes and unnecessary conflicts."""
        changes = diff(old, new)
        assert apply_changes(old, changes) == new
        touched = {change_target(change) for change in changes}
        assert len(touched) == len(changes)
        for kind, name in touched:
            before, after = getattr(old, kind), getattr(new, kind)
            assert before.get(name) != after.get(name)

    def test_removal_of_nothing_is_refused(self):
        """Guards against a misspelled removal that seems to succeed."""
        with pytest.raises(ConfigurationError):
            apply_changes(Configuration(), [Remove("routes", "a")])
