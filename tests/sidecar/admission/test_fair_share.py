"""Tests of the share of a server that organisations use."""

import random

from vanillamast_sidecar.admission.admission_queue import AdmissionQueue
from vanillamast_sidecar.admission.fair_share import FairShare
from vanillamast_sidecar.organisations.organisation import Organisation

SLOTS = 5
HELD_S = 0.1


def make_share(**rates: float) -> FairShare:
    """Returns the shares of organisations with usage caps."""
    share = FairShare()
    share.apply_organisations(
        Organisation(name, (), None, rate) for name, rate in rates.items()
    )
    return share


class TestFairShare:
    """Who uses more than the others, in proportion to the caps."""

    def test_a_large_organisation_at_its_usual_is_not_over(self):
        """Guards against large organisations that always yield."""
        share = make_share(large=300.0, small=5.0)
        for n in range(300):
            share.add("large", HELD_S, n / 30.0)
            if n % 60 == 0:
                share.add("small", HELD_S, n / 30.0)
        assert not share.is_over("large", 10.0)
        assert not share.is_over("small", 10.0)

    def test_an_organisation_far_above_its_usual_is_over(self):
        """Guards against a hot organisation that displaces the others."""
        share = make_share(hot=30.0, a=30.0, b=30.0)
        for n in range(300):
            share.add("hot", 7.0 * HELD_S, n / 30.0)
            share.add("a", HELD_S, n / 30.0)
            share.add("b", HELD_S, n / 30.0)
        assert share.is_over("hot", 10.0)
        assert not share.is_over("a", 10.0)

    def test_without_organisations_nobody_is_over(self):
        """Guards against a change for deployments without organisations."""
        share = FairShare()
        share.add("", HELD_S, 1.0)
        assert not share.is_over("", 1.0)

    def test_the_only_organisation_is_not_over(self):
        """Guards against a server that is used by one organisation only."""
        share = make_share(only=5.0)
        share.add("only", HELD_S, 1.0)
        assert not share.is_over("only", 1.0)

    def test_removed_organisations_are_forgotten(self):
        """Guards against state that grows with each configuration."""
        share = make_share(a=5.0, b=5.0)
        share.add("a", HELD_S, 1.0)
        share.apply_organisations([Organisation("b", (), None, 5.0)])
        assert share.usage == {}
        assert not share.is_over("a", 1.0)


class TestHotOrganisation:
    """A server at whose queue one organisation asks seven times its usual."""

    def play(self, fair: bool) -> dict[str, float]:
        """Returns the share of each organisation's requests that runs.

        Requests wait up to 0.3 s. Four organisations ask for 0.2 of the
        server's capacity each, one of them for seven times that.
        """
        rng = random.Random(3)
        rates = dict.fromkeys("abcd", 0.2 * SLOTS / HELD_S)
        rates["a"] *= 7.0
        share = make_share(**dict.fromkeys("abcd", 10.0))
        queue: AdmissionQueue[str] = AdmissionQueue(SLOTS)
        queue.mean_service_s = HELD_S
        asked = dict.fromkeys("abcd", 0)
        served = dict.fromkeys("abcd", 0)
        ends: list[tuple[float, str]] = []

        def start(name, at):
            served[name] += 1
            ends.append((at + HELD_S, name))

        arrivals = []
        for name, rate in rates.items():
            at = 0.0
            while at < 20.0:
                at += rng.expovariate(rate)
                arrivals.append((at, name))
        for now, name in sorted(arrivals):
            while ends and ends[0][0] <= now:
                ended, ended_name = ends.pop(0)
                queue.release_slot()
                share.add(ended_name, HELD_S, ended)
                granted = queue.grant_next(ended)
                if granted is not None:
                    start(granted, ended)
            asked[name] += 1
            rank = 2 + (fair and share.is_over(name, now))
            if queue.try_acquire_slot(now):
                start(name, now)
            elif queue.expected_wait_s(rank, now + 0.3, now) < 0.3:
                queue.enqueue(rank, now + 0.3, HELD_S, name)
            ends.sort()
        return {name: served[name] / asked[name] for name in "abcd"}

    def test_the_others_are_served(self):
        """Guards against a burst of one organisation that starves the rest."""
        before = self.play(fair=False)
        after = self.play(fair=True)
        assert min(after[name] for name in "bcd") > 0.9
        assert min(after[name] for name in "bcd") > before["b"]

    def test_it_keeps_what_the_others_leave(self):
        """Guards against a hot organisation that is served nothing."""
        after = self.play(fair=True)
        # The others leave 0.4 of the capacity, it asks for 1.4 of it.
        assert after["a"] > 0.2
