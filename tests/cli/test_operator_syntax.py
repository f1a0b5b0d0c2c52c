"""Tests of the operators' language."""

import dataclasses
import pathlib
import re

import pytest
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_cli import OperatorSyntaxError, parse_command, verbs
from vanillamast_cli.move_verbs import StartMove
from vanillamast_cli.operator_syntax import operator_parser
from vanillamast_cli.times import ByTime, InDuration

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "standalone-node.md"
KEYWORDS = sorted(
    terminal.name[1:].lower()
    for terminal in operator_parser().terminals
    if terminal.name.startswith("_")
)
words = st.one_of(
    st.sampled_from(KEYWORDS),
    st.from_regex(r"[a-z0-9][a-z0-9.-]{0,8}", fullmatch=True),
)


class TestOperatorSyntax:
    """Parsing and its error messages."""

    def test_every_rule_has_a_verb(self):
        """Guards against a command that parses but does nothing."""
        helpers = {
            "start",
            "command",
            "deadline",
            "by_time",
            "in_duration",
            "log_files",
        }
        rules = {str(rule.origin.name) for rule in operator_parser().rules}
        assert {r for r in rules if not r.startswith("_")} - helpers == set(
            verbs
        )

    @pytest.mark.parametrize("name", list(verbs))
    def test_examples_parse(self, name: str):
        """Guards against an example in the help that does not parse."""
        kind = verbs.get(name)
        line = kind.example.split("'")[1]
        assert type(parse_command(line)) is kind

    def test_page_shows_every_command(self):
        """Guards against a page that lacks a command or shows a wrong one."""
        page = PAGE.read_text().replace("\\|", "|")
        for name in verbs:
            assert f"| `{verbs.get(name).usage}` |" in page
        for line in re.findall(r"vanillamast [^'\n`]*'([^'\n]+)'", page):
            parse_command(line)

    @given(words, words, words, words)
    def test_names_may_look_like_keywords(
        self, service: str, old: str, new: str, name: str
    ):
        """Guards against arguments that are swapped or taken as keywords."""
        line = f"move {service} from {old} to {new} in 1h30m named {name}"
        deadline = InDuration(5400.0)
        expected = StartMove(service, old, new, deadline, name)
        assert parse_command(line) == expected
        assert parse_command(f"{line} at deadline finish # why") == (
            dataclasses.replace(expected, on_deadline="finish")
        )

    @given(
        st.text(st.characters(codec="utf-8", exclude_characters="\n")),
        st.lists(st.sampled_from([*KEYWORDS, "x", '"', "2"])).map(" ".join),
    )
    def test_any_line_is_a_command_or_a_syntax_error(
        self, start: str, line: str
    ):
        """Guards against other exceptions than `OperatorSyntaxError`."""
        for text in (start, line, start + line, line + start):
            try:
                parse_command(text)
            except OperatorSyntaxError as error:
                caret = str(error).splitlines()[-2]
                assert caret.endswith("^")
                assert "expected " in str(error)

    @pytest.mark.parametrize(
        ("line", "message"),
        [
            (
                "show routes of browse",
                "line 3, column 13: found of\n"
                "  show routes of browse\n"
                "              ^\n"
                "expected for or the end of the command",
            ),
            (
                "move a from 1 to 2",
                "line 3, column 19: found the end\n"
                "  move a from 1 to 2\n"
                "                    ^\n"
                "expected by or in",
            ),
            (
                "move a from 1 to 2 in 30 minutes",
                "line 3, column 23: found 30\n"
                "  move a from 1 to 2 in 30 minutes\n"
                "                        ^\n"
                "expected a duration such as 30m or 1h30m",
            ),
            (
                "holdmove x",
                "line 3, column 1: found holdmove\n"
                "  holdmove x\n"
                "  ^\n"
                "expected check, drain, explain, follow, help, history, "
                "hold, move, publish, resume, show, stop, trace or undrain",
            ),
        ],
    )
    def test_error_shows_the_position_and_what_was_expected(
        self, line: str, message: str
    ):
        """Guards against an error that an operator cannot act on."""
        with pytest.raises(OperatorSyntaxError) as caught:
            parse_command(line, line_number=3)
        assert str(caught.value) == message

    @pytest.mark.parametrize(
        ("text", "expected"),
        [
            ("00:30", 1_700_008_200.0),
            ("22:00", 1_699_999_200.0),
            ("2023-11-15T00:30", 1_700_008_200.0),
            ("2023-11-15T00:30:00+01:00", 1_700_004_600.0),
        ],
    )
    def test_times_are_utc_and_next(self, text: str, expected: float):
        """Guards against a deadline that is a day or an hour off."""
        now = 1_699_998_000.0  # 2023-11-14T21:40:00Z
        assert ByTime(text).resolve(now) == expected
