"""Tests of the decision which requests are kept from servers."""

import dataclasses
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_sidecar.crashes.crash_settings import CrashSettings
from vanillamast_sidecar.crashes.crash_suspects import Admission, CrashSuspects
from vanillamast_sidecar.crashes.request_digest import (
    MAX_HASHED_BYTES,
    digest_request,
)
from vanillamast_sidecar.crashes.server_end import ServerEnd

SETTINGS = CrashSettings()
DEADLY = 1
SOUND = 2
MANY = 9  # Ready servers.


class Case:
    """Suspects of one service, under a test clock.

    Attributes:
      now: Current time, in seconds.
      suspects: The suspects.
      ended: Servers that have ended.
    """

    def __init__(self, settings=SETTINGS):
        self.now = 100.0
        self.suspects = CrashSuspects(settings, random.Random(1))
        self.ended = 0

    def end(self, *digests, version="v1"):
        """Ends another server under some requests."""
        self.ended += 1
        end = ServerEnd("s", version, f"i-{self.ended}", 1, list(digests))
        assert self.suspects.record_end(end, self.now)

    def judge(self, digest=DEADLY, ready=MANY, version="v1"):
        """Returns whether a request may be sent."""
        return self.suspects.judge("s", version, digest, ready, self.now)[0]


@pytest.fixture
def case():
    """Returns suspects with the default settings."""
    return Case()


class TestHolds:
    """A request is held once it has ended three servers."""

    def test_a_request_is_held_after_three_ends(self, case):
        """Guards against a request that ends one server after the other."""
        seen = [case.judge()]
        for _ in range(SETTINGS.max_ends):
            case.end(DEADLY, SOUND + case.ended)
            seen.append(case.judge())
        assert seen == [
            Admission.ALLOWED,
            Admission.ALLOWED,
            Admission.ALONE,
            Admission.HELD,
        ]

    def test_the_last_ready_server_is_spared(self, case):
        """Guards against a service whose servers all end at once."""
        case.end(DEADLY)
        case.end(DEADLY)
        assert case.judge(ready=1) is Admission.HELD
        assert case.judge(ready=2) is Admission.ALONE

    def test_an_end_that_two_nodes_report_counts_once(self, case):
        """Guards against a hold after a single end."""
        end = ServerEnd("s", "v1", "i-1", 1, [DEADLY])
        results = [case.suspects.record_end(end, case.now) for _ in range(3)]
        assert results == [True, False, False]
        assert case.judge() is Admission.ALLOWED

    def test_retry_after_is_the_rest_of_the_hold(self, case):
        """Guards against callers that come back in vain."""
        for _ in range(SETTINGS.max_ends):
            case.end(DEADLY)
        case.now += 10.0
        _, retry_after_s = case.suspects.judge("s", "v1", DEADLY, 9, case.now)
        assert retry_after_s >= SETTINGS.hold_s - 10.0


class TestRelease:
    """A request is tried again, and forgiven if it runs well."""

    def hold(self, case):
        """Ends as many servers as a hold takes."""
        for _ in range(SETTINGS.max_ends):
            case.end(DEADLY)

    def test_it_is_tried_alone_after_the_hold(self, case):
        """Guards against a request that is refused for ever."""
        self.hold(case)
        case.now += 2 * SETTINGS.hold_s
        assert case.judge() is Admission.ALONE
        case.suspects.start_trial("s", "v1", DEADLY, case.now)
        assert case.judge() is Admission.HELD

    def test_a_further_end_doubles_the_hold(self, case):
        """Guards against a server that ends at each trial."""
        self.hold(case)
        case.now += 2 * SETTINGS.hold_s
        case.end(DEADLY)
        case.now += 1.9 * SETTINGS.hold_s
        assert case.judge() is Admission.HELD

    def test_an_answer_clears_it(self, case):
        """Guards against a fixed server that does not get the request."""
        self.hold(case)
        case.suspects.record_answer("s", "v1", DEADLY)
        assert case.judge() is Admission.ALLOWED

    def test_another_version_gets_it(self, case):
        """Guards against a fixed version that does not get the request."""
        self.hold(case)
        assert case.judge(version="v2") is Admission.ALLOWED

    def test_it_is_forgotten(self, case):
        """Guards against suspects that are kept for ever."""
        self.hold(case)
        case.now += SETTINGS.memory_s + 1.0
        assert case.judge() is Admission.ALLOWED
        case.end(SOUND)
        assert len(case.suspects.suspects) == len(case.suspects.ends) == 1

    def test_the_tables_are_bounded(self):
        """Guards against memory that grows with the number of ends."""
        settings = dataclasses.replace(
            SETTINGS, max_suspects=10, max_answered=5
        )
        case = Case(settings)
        for number in range(50):
            case.end(number, number + 100)
            case.suspects.record_answer("s", "v1", number + 1000)
        assert len(case.suspects.suspects) <= 10
        assert len(case.suspects.ends) <= 10
        assert len(case.suspects.answered) <= 5


class TestSoundRequests:
    """A sound request is not held for what ran beside it."""

    def test_one_that_was_answered_before_is_no_suspect(self, case):
        """Guards against a frequent request that runs beside each end."""
        case.suspects.record_answer("s", "v1", SOUND)
        digests = case.suspects.select("s", "v1", [DEADLY, SOUND, DEADLY])
        assert digests == [DEADLY]

    @given(st.integers(0, 2**32), st.integers(2, 6), st.integers(1, 3))
    def test_fuzz_of_sound_requests_beside_deadly_ones(
        self, seed, servers, deadly_count
    ):
        """Guards against sound requests held, and deadly ones that go on.

        Each round runs some requests at once on one server. Lost sound
        requests are repeated until they are answered.
        """
        rng = random.Random(seed)
        case = Case()
        deadly = set(range(deadly_count))
        ends = dict.fromkeys(deadly, 0)
        waiting = []
        fresh = 1000
        for _ in range(200):
            case.now += 0.1
            waiting += [fresh, fresh + 1]
            fresh += 2
            batch = []
            alone = False
            for digest in rng.sample([*waiting, *deadly], 3):
                admission = case.judge(digest, servers)
                if admission is Admission.ALONE and not alone:
                    alone = True
                elif admission is not Admission.ALLOWED:
                    # Beside several deadly requests, a sound one can't be told
                    # apart after its third end.
                    assert deadly_count > 1 or (
                        digest in deadly or admission is Admission.ALONE
                    )
                    continue
                batch.append(digest)
            fatal = deadly.intersection(batch)
            for digest in fatal:
                ends[digest] += 1
            if fatal:
                case.end(*batch)
                continue
            for digest in batch:
                case.suspects.record_answer("s", "v1", digest)
                waiting.remove(digest)
        assert max(ends.values()) <= SETTINGS.max_ends


class TestRequestDigest:
    """A digest names what a caller repeats."""

    def test_a_retry_has_the_same_digest(self):
        """Guards against retries that are not recognized."""
        request = ("POST", b"host", "/a?b=1", b"body")
        assert digest_request(*request) == digest_request(*request)

    @pytest.mark.parametrize(
        "other",
        [
            ("PUT", b"host", "/a?b=1", b"body"),
            ("POST", b"host2", "/a?b=1", b"body"),
            ("POST", b"host", "/a?b=2", b"body"),
            ("POST", b"host", "/a?b=1", b"bodx"),
            ("POST", b"host", "/a?b=1", b"x" * MAX_HASHED_BYTES),
            ("POST", b"host", "/a?b=1", b"x" * (MAX_HASHED_BYTES + 1)),
        ],
    )
    def test_another_request_has_another_one(self, other):
        """Guards against a sound request that is taken for a deadly one."""
        digests = {
            digest_request("POST", b"host", "/a?b=1", b"body"),
            digest_request("POST", b"host", "/a?b=1", b"x" * 70_000),
            digest_request(*other),
        }
        assert len(digests) == 3
