"""Tests of the scenario language and its runner."""

import pathlib
import re
from collections.abc import Mapping, Sequence
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_testing import (
    Badness,
    PlatformLogFaults,
    RequestRecord,
    ScenarioInstance,
    ScenarioSyntaxError,
    parse_scenario,
    parse_step,
    run_scenario,
    steps,
)
from vanillamast_testing.badness import badness_kinds
from vanillamast_testing.scenario_expectations import ExpectMove
from vanillamast_testing.scenario_fault_steps import Cut, SetBadness
from vanillamast_testing.scenario_fleet_steps import StartInstances, Wait
from vanillamast_testing.scenario_parser import scenario_parser

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "scenarios.md"
KEYWORDS = sorted(
    terminal.name[1:].lower()
    for terminal in scenario_parser().terminals
    if terminal.name.startswith("_") and not terminal.name.startswith("__")
)


class RecordingTarget:
    """Records calls; queries are answered from a table, on a test clock."""

    def __init__(self, **answers: Any):
        self.time = 0.0
        self.calls: list[tuple[Any, ...]] = []
        self.answers = answers
        self.requests: list[RequestRecord] = []

    def __getattr__(self, name: str) -> Any:
        async def call(*arguments: Any) -> Any:
            self.calls.append((name, *arguments))
            answer = self.answers.get(name)
            return answer(self.time) if callable(answer) else answer

        return call

    def now(self) -> float:
        """Returns the time of the test clock."""
        return self.time

    async def wait(self, seconds: float) -> None:
        """Moves the test clock."""
        assert seconds > 0
        self.time += seconds

    async def records(self) -> Sequence[RequestRecord]:
        """Returns the requests of the test."""
        return self.requests

    async def runs(self) -> Mapping[str, int]:
        """Returns as many runs as the requests have attempts."""
        return {r.request_id: r.attempts for r in self.requests}


def request(name: str, runs: int = 1, **fields: Any) -> RequestRecord:
    """Returns a served post; keyword arguments replace its fields."""
    record = RequestRecord(name, "POST", "/", "", 0.0, attempts=runs)
    record.status, record.whole = 200, True
    for field, value in fields.items():
        setattr(record, field, value)
    return record


async def run(text: str, target: RecordingTarget) -> Any:
    """Runs a scenario."""
    return await run_scenario(parse_scenario(text), target)


class TestScenarioLanguage:
    """Parsing and its error messages."""

    def test_every_rule_has_a_step_and_a_description(self):
        """Guards against a step that parses but does nothing."""
        helpers = {"start", "step", "group", "domains", "states", "condition"}
        rules = {str(rule.origin.name) for rule in scenario_parser().rules}
        assert {r for r in rules if not r.startswith("_")} - helpers == set(
            steps
        )
        page = PAGE.read_text()
        for name in steps:
            step = steps.get(name)
            assert type(parse_step(step.example)) is step
            assert f"`{step.example}`" in page

    def test_page_holds_scenarios_only(self):
        """Guards against a page that shows what does not parse."""
        page = PAGE.read_text()
        for block in re.findall(r"```scenario\n(.*?)```", page, re.DOTALL):
            assert parse_scenario(block)
        for example in re.findall(r"^\| `([^`]+)`", page, re.MULTILINE):
            parse_step(example)

    @pytest.mark.parametrize(
        ("line", "expected"),
        [
            (
                'start 3 of version version 2 in a,"b c" # why',
                StartInstances(3, "version", "2", ("a", "b c")),
            ),
            ("cut a from b,platform", Cut(("a",), ("b", "platform"))),
            ("wait 1.5m", Wait(90.0)),
            ("wait 250ms", Wait(0.25)),
            (
                "expect move is is done or settled within 2s",
                ExpectMove("is", ("done", "settled"), 2.0),
            ),
        ],
    )
    def test_arguments(self, line: str, expected: Any):
        """Guards against swapped arguments and wrong units."""
        assert parse_step(line) == expected

    def test_badness_conditions(self):
        """Guards against a condition that is dropped or misread."""
        step = parse_step(SetBadness.example)
        assert isinstance(step, SetBadness)
        assert step.badness == Badness(
            "fails", 0.5, 300.0, 5.0, True, "/chapters"
        )
        for kind in badness_kinds:
            parse_step(f"badness of a version 1 is {kind}")

    @pytest.mark.parametrize(
        ("line", "message"),
        [
            (
                "  kill zone a",
                "line 2, column 8: found zone\n"
                "    kill zone a\n"
                "         ^\n"
                "expected domain or instance",
            ),
            (
                "wait 5",
                "line 2, column 6: found 5\n"
                "  wait 5\n"
                "       ^\n"
                "expected for or a duration such as 500ms, 5s or 2m",
            ),
            (
                "expect share of a version 2 at most 5",
                "line 2, column 37: found 5\n"
                "  expect share of a version 2 at most 5\n"
                "                                      ^\n"
                "expected a share such as 20%",
            ),
            (
                "start 3 of a version 1 in a b",
                "line 2, column 29: found b\n"
                "  start 3 of a version 1 in a b\n"
                "                              ^\n"
                "expected a comma or the end of the step",
            ),
            (
                "badness of a version 1 is sloow",
                "line 2: unknown badness 'sloow'; known: none, fails, slow, "
                "fails_slowly, cut\n"
                "  badness of a version 1 is sloow",
            ),
        ],
    )
    def test_error_shows_the_place_and_what_was_expected(
        self, line: str, message: str
    ):
        """Guards against an error that names the wrong line or nothing."""
        with pytest.raises(ScenarioSyntaxError) as caught:
            parse_scenario(f"heal all\n{line}\nwait 1s")
        assert str(caught.value) == message

    @given(
        st.one_of(
            st.text(st.characters(codec="utf-8")),
            st.lists(
                st.sampled_from([*KEYWORDS, "a", ",", "2", "5s", "5%", '"'])
            ).map(" ".join),
        )
    )
    def test_any_text_is_a_scenario_or_a_syntax_error(self, text: str):
        """Guards against an untyped failure on a malformed scenario."""
        try:
            parse_scenario(text)
        except ScenarioSyntaxError as error:
            assert str(error).startswith("line ")


class TestScenarioRunner:
    """Steps on a target with a test clock."""

    async def test_steps_reach_the_target(self):
        """Guards against steps that act on the wrong instances."""
        target = RecordingTarget(publish=7, runs_by_version={"1": 5})
        report = await run(
            "start 3 of s version 1 in a, b\n"
            "start 1 of s version 2 in b\n"
            "publish f.yaml as x\n"
            "kill domain a\n"
            "restart instance s-v1-2\n"
            "cut a from platform\n"
            "cut b from platform\n"
            "heal a from platform\n"
            "platform slow by 2s\n"
            "badness of s version 2 is slow delay 1s\n"
            "undrain s-v2-1\n",
            target,
        )
        assert report.held
        instances = [
            ScenarioInstance("s-v1-1", "s", "1", "a", True),
            ScenarioInstance("s-v1-2", "s", "1", "b", True),
            ScenarioInstance("s-v1-3", "s", "1", "a", False),
        ]
        other = ScenarioInstance("s-v2-1", "s", "2", "b", False)
        cut_a = frozenset({"a", "platform"})
        cut_b = frozenset({"b", "platform"})
        assert target.calls == [
            ("start", instances),
            ("start", [other]),
            ("publish", "f.yaml", "x"),
            ("kill", ["s-v1-1", "s-v1-3"]),
            ("restart", ["s-v1-2"]),
            ("set_cuts", frozenset({cut_a})),
            ("set_cuts", frozenset({cut_a, cut_b})),
            ("set_cuts", frozenset({cut_b})),
            ("set_platform", PlatformLogFaults(delay_s=2.0)),
            ("set_badness", ["s-v2-1"], Badness("slow", delay_ms=1000.0)),
            ("drain", "s-v2-1", False),
        ]

    @pytest.mark.parametrize(
        ("within", "held", "ended_at"), [("3s", True, 2.0), ("1s", False, 1.0)]
    )
    async def test_expectation_waits_until_its_limit(
        self, within: str, held: bool, ended_at: float
    ):
        """Guards against an expectation that cannot fail, or gives up."""
        target = RecordingTarget(converged=lambda now: now >= 1.95)
        report = await run(f"expect converged within {within}", target)
        assert report.held is held
        assert report.results[0].ended_at == pytest.approx(ended_at)

    async def test_failed_expectation_is_noted_and_the_rest_runs(self):
        """Guards against a run that hides later failures or the line."""
        target = RecordingTarget(move_state="running", converged=True)
        report = await run(
            "expect move x is done or settled within 1s\n"
            "expect converged within 1s\n",
            target,
        )
        assert not report.held
        assert report.complete
        assert report.failures() == [
            "line 1: expect move x is done or settled within 1s: move x is "
            "running"
        ]

    @pytest.mark.parametrize(
        "line",
        [
            "kill instance nobody",
            "pause domain nowhere",
            "heal a from b",
            "cut a from b, a",
            "badness of s version 9 is fails",
            "expect version x at s-v1-1 within 1s",
            "expect no request lost",
            "expect share of s version 1 at most 100%",
        ],
    )
    async def test_step_without_an_object_ends_the_scenario(self, line: str):
        """Guards against a misspelt name that tests nothing and passes."""
        target = RecordingTarget(runs_by_version={})
        report = await run(
            f"start 1 of s version 1 in a\n{line}\nheal all\n", target
        )
        assert not report.held
        assert not report.complete
        assert len(report.results) == 2
        assert ("set_cuts", frozenset()) not in target.calls

    @pytest.mark.parametrize(
        ("finding", "bad"),
        [
            ("lost", request("x", status=0)),
            ("doubled", request("x", runs=2)),
            ("cut off", request("x", whole=False, error="ClientPayloadError")),
            ("short", request("x", whole=False)),
            ("missing", request("x", runs=0)),
            ("untrue", request("x", status=503, not_run=True)),
        ],
    )
    async def test_findings(self, finding: str, bad: RequestRecord):
        """Guards against a violation that no expectation detects."""
        target = RecordingTarget()
        target.requests = [request("a"), request("b")]
        assert (await run(f"expect no request {finding}", target)).held
        target.requests.append(bad)
        report = await run(f"expect no request {finding}", target)
        assert report.results[0].failure == f"1 of 3 {finding}: x"

    async def test_share_counts_from_the_last_move(self):
        """Guards against earlier traffic that hides a version's share."""
        runs = {"1": 1000, "2": 0}
        target = RecordingTarget(runs_by_version=lambda now: dict(runs))
        lines = parse_scenario(
            "move s from 1 to 2 in 30s named x\n"
            "expect share of s version 2 at most 10%\n"
        )
        runs.update({"1": 1000, "2": 0})

        async def move(*_: Any) -> None:
            runs.update({"1": 1080, "2": 20})

        target.move = move  # type: ignore[attr-defined]
        report = await run_scenario(lines, target)
        assert report.results[1].failure == "share 0.2000 of 100 runs"
