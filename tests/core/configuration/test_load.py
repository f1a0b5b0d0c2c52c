"""Tests of loading and dumping configurations."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_core.configuration import (
    CallerClass,
    Configuration,
    ConfigurationError,
    MoveSpec,
    Route,
    Service,
    dump_configuration,
    load_configuration,
)

TEXT = st.text(max_size=8)
FLOATS = st.floats(allow_nan=False, allow_infinity=False)
INTS = st.integers(-(2**40), 2**40)
CONFIGURATIONS = st.builds(
    Configuration,
    services=st.dictionaries(
        TEXT, st.builds(Service, version=TEXT, slots=INTS, retry_ratio=FLOATS)
    ),
    routes=st.dictionaries(
        TEXT,
        st.builds(
            Route,
            path=TEXT,
            service=TEXT,
            methods=st.lists(TEXT, max_size=2).map(tuple),
            idempotent=st.none() | st.booleans(),
        ),
    ),
    classes=st.dictionaries(TEXT, st.builds(CallerClass, max_share=FLOATS)),
    moves=st.dictionaries(
        TEXT,
        st.builds(
            MoveSpec,
            service=TEXT,
            old=TEXT,
            new=TEXT,
            deadline=FLOATS | INTS.map(float),
        ),
    ),
)
BROWSE = "services: {browse: {version: '1'}}\n"
MOVE = "moves: {m: {service: browse, old: '1', new: '2', deadline: %s}}"


class TestLoadConfiguration:
    """What `load_configuration` accepts and rejects."""

    @given(CONFIGURATIONS)
    def test_dumped_configurations_load_fuzz(self, configuration):
        """Guards against strings that YAML reads as a number, date or bool."""
        text = dump_configuration(configuration)
        assert load_configuration(text) == configuration

    def test_nested_aliases_cost_no_memory(self):
        """Guards against a short text whose error message fills memory."""
        lists = [f"&x{n} [{f'*x{n - 1}, ' * 9}]" for n in range(1, 40)]
        with pytest.raises(ConfigurationError) as caught:
            load_configuration(f"services: [&x0 [1], {', '.join(lists)}]")
        assert len(str(caught.value)) < 2_000

    @pytest.mark.parametrize(
        "deadline", ["2026-12-04T06:00:00Z", "2026-12-04 06:00:00+00:00"]
    )
    def test_deadline_in_utc(self, deadline):
        """Guards against a deadline that is read in local time."""
        moves = load_configuration(MOVE % deadline).moves
        assert moves["m"].deadline == 1_796_364_000.0

    @pytest.mark.parametrize(
        ("text", "path", "value", "allowed"),
        [
            ("a: [\n", "line 2", None, "YAML"),
            ("- 1", "configuration", [1], "a mapping"),
            ("service: {}", "service", {}, "services, routes"),
            ("routes: {1: {}}", "routes", 1, "quotes"),
            (BROWSE + BROWSE, "line 2", "services", "once"),
            ("services: {a: {version: 1.0}}", "a.version", 1.0, "`str`"),
            ("services: {a: {}}", "services.a.version", None, "a value"),
            (
                "services: {a: {version: x, slot: 3}}",
                "services.a.slot",
                3,
                "slots",
            ),
            (
                "routes: {r: {path: /, service: a, callers: [a, 3]}}",
                "routes.r.callers[1]",
                3,
                "`str`",
            ),
            (MOVE % "2026-12-04T06:00:00", "m.deadline", None, "UTC"),
            (MOVE % "2026-12-04T06:00:00+02:00", "m.deadline", None, "UTC"),
            (MOVE % "tomorrow", "m.deadline", "tomorrow", "UTC"),
            (MOVE % "[]", "m.deadline", [], "`float`"),
            (MOVE % "1, on_deadline: x", "m.on_deadline", "x", "'x'"),
        ],
    )
    def test_errors_name_place_value_and_what_is_allowed(
        self, text, path, value, allowed
    ):
        """Guards against errors that do not help operators find the fault."""
        with pytest.raises(ConfigurationError) as caught:
            load_configuration(text)
        assert path in caught.value.path
        assert value is None or caught.value.value == value
        assert allowed in caught.value.allowed
