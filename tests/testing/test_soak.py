"""Tests of what a soak finds in its record."""

import dataclasses

import pytest
from vanillamast_testing.emulator import Backend, CallerAnswer
from vanillamast_testing.emulator.backend import Run
from vanillamast_testing.soak import (
    Disturbance,
    LimitPeriod,
    SentRequest,
    SoakRecord,
    find_violations,
)

PATH = "/browse-post/1"
ANSWER = CallerAnswer("r1", 200, f"i-1 POST {PATH} 1", "i-1.1", "r1")


def record(status=200, runs=1, started_at=100.0, **answer):
    """Returns a record of one request and its runs at a server."""
    backend = Backend("i-1", "browse", "127.0.0.1", 1, 2, "z0")
    backend.runs = [
        Run("r1", "POST", PATH, b"x", "browse", 2000, started_at)
    ] * runs
    request = SentRequest(
        "m1",
        "POST",
        PATH,
        started_at,
        started_at + 0.5,
        dataclasses.replace(ANSWER, status=status, **answer),
    )
    return SoakRecord(
        requests=[request], backends=[backend], machines={backend.host: "m2"}
    )


def names(found):
    """Returns the names of the checks that found something."""
    return [violation.partition(":")[0] for violation in find_violations(found)]


class TestSoakChecks:
    """Each check finds what it is named for, and nothing else."""

    def test_a_sound_record(self):
        """Guards against checks that find what is allowed."""
        assert names(record()) == []

    def test_a_post_that_ran_twice(self):
        """Guards against a check of repeats that finds none."""
        assert names(record(runs=2)) == ["at_most_once"]

    @pytest.mark.parametrize("status", [429, 503])
    def test_a_refused_post_that_ran(self, status):
        """Guards against a check of refusals that believes them."""
        assert names(record(status=status)) == ["truthful_refusal"]

    @pytest.mark.parametrize(
        "answer",
        [
            {"body": "i-1 POST /browse-post/2 1"},
            {"body": "i-1 POST"},
            {"signature": ""},
            {"signature": "i-2.1"},
            {"echoed_id": "r2"},
        ],
    )
    def test_an_answer_to_another_request(self, answer):
        """Guards against a check of answers that looks at the status only."""
        assert names(record(**answer)) == ["own_whole_answer"]

    def test_a_request_that_a_stop_cut(self):
        """Guards against a check of stops that finds no cut."""
        assert names(record(status=0)) == ["planned_stop"]

    @pytest.mark.parametrize("ended_at", [97.1, 100.2])
    @pytest.mark.parametrize("target", ["m1", "m2"])
    def test_a_request_that_a_kill_cut(self, target, ended_at):
        """Guards against faults that count as planned stops."""
        found = record(status=0)
        found.disturbances = [Disturbance("kill", target, 97.0, ended_at)]
        assert names(found) == []

    @pytest.mark.parametrize(
        "disturbance",
        [
            Disturbance("kill", "m3", 97.0, 102.0),
            Disturbance("kill", "m1", 90.0, 96.9),
            Disturbance("planned_stop", "m1", 97.0, 102.0),
        ],
    )
    def test_a_request_that_nothing_else_cut(self, disturbance):
        """Guards against stops that any fault elsewhere excuses."""
        found = record(status=0)
        found.disturbances = [disturbance]
        assert names(found) == ["planned_stop"]

    @pytest.mark.parametrize(("arrivals", "broken"), [(53, False), (54, True)])
    def test_requests_beyond_a_limit(self, arrivals, broken):
        """Guards against a check of limits that counts wrongly."""
        found = record()
        times = [50.0] * 90 + [60.0 + 0.07 * n for n in range(arrivals)]
        found.limits = [LimitPeriod("i-1", 8.0, times, 50.0, 70.0)]
        assert names(found) == (["rate_limit"] if broken else [])

    @pytest.mark.parametrize(
        ("started_at", "restarted_at", "broken"),
        [(101.0, 0.0, False), (103.0, 0.0, True), (103.0, 102.0, False)],
    )
    def test_a_request_to_a_leaving_server(
        self, started_at, restarted_at, broken
    ):
        """Guards against a check that forgets which machine was told."""
        found = record(leaving=True)
        later = record(started_at=started_at)
        request = dataclasses.replace(
            later.requests[0],
            answer=dataclasses.replace(ANSWER, request_id="r2", echoed_id="r2"),
        )
        found.requests.append(request)
        run = dataclasses.replace(later.backends[0].runs[0], request_id="r2")
        found.backends[0].runs.append(run)
        found.disturbances = [
            Disturbance("pause", "m1", restarted_at, restarted_at + 0.5)
        ]
        assert names(found) == (["leaving_server"] if broken else [])

    def test_a_path_that_stays_unserved(self):
        """Guards against a fleet that does not recover."""
        found = record()
        found.unserved = ["/browse-page/last on m1"]
        assert names(found) == ["recovery"]
