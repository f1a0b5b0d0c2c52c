"""Tests of the claimant's side of leases."""

import hypothesis.stateful as stateful
import msgspec
import pytest
from hypothesis import strategies as st
from vanillamast_core.journal import (
    ClaimLease,
    Journal,
    LeaseKeeper,
    LeaseSettings,
    LogEntry,
    record_codec,
)

NAME = "driver/0"
TICK_S = 0.25


class Claimant:
    """A process with its own clock that knows a prefix of the log."""

    def __init__(self, number, skew):
        self.keeper = LeaseKeeper(NAME, f"h{number}", LeaseSettings())
        self.rank = number
        self.skew = skew
        self.journal = Journal()

    def act(self, now):
        """Returns a claim that the process sends now, if any."""
        clock = now + self.skew
        self.keeper.observe(self.journal.state.leases.get(NAME), clock)
        record = self.keeper.decide(clock, self.rank)
        if record:
            self.keeper.mark_sent(clock)
        return record

    def usable_token(self, now):
        """Returns the token with which the process would act now."""
        return self.keeper.usable_token(now + self.skew)


class Platform:
    """The log and its fold."""

    def __init__(self):
        self.log = []
        self.journal = Journal()

    def append(self, record):
        """Appends a claim."""
        entry = LogEntry(len(self.log) + 1, record_codec.encode(record))
        self.log.append(entry)
        self.journal.apply(entry)

    def read(self, journal, limit=1_000):
        """Lets a process read the next entries."""
        for entry in self.log[journal.offset : journal.offset + limit]:
            journal.apply(entry)


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Claimants with pauses, late reads, and late or repeated appends."""

    def __init__(self):
        super().__init__()
        self.platform = Platform()
        self.now = 0.0
        self.claimants = [Claimant(n, 1_000.0 * n) for n in range(3)]
        self.pending_appends = []

    @stateful.rule(
        seconds=st.sampled_from([0.5, 1.0, 2.0, 4.0, 9.0]),
        running=st.sets(st.integers(0, 2)),
    )
    def pass_time(self, seconds, running):
        """Lets time pass; claimants not in `running` are paused or cut off."""
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            for number in sorted(running):
                self.act(number)
                self.check()

    @stateful.rule(number=st.integers(0, 2))
    def act(self, number):
        """Lets a process decide by its state; it may send a claim."""
        if record := self.claimants[number].act(self.now):
            self.pending_appends.append(record)

    @stateful.rule(number=st.integers(0, 2), limit=st.sampled_from([1, 1_000]))
    def read(self, number, limit):
        """Lets a process read some of the log."""
        self.platform.read(self.claimants[number].journal, limit)

    @stateful.precondition(lambda self: self.pending_appends)
    @stateful.rule(index=st.integers(0, 9), again=st.booleans())
    def deliver(self, index, again):
        """Applies an append; if its answer is lost, it is repeated."""
        index %= len(self.pending_appends)
        self.platform.append(self.pending_appends[index])
        if not again:
            del self.pending_appends[index]

    @stateful.rule()
    def deliver_all(self):
        """Applies all appends; all claimants read the whole log."""
        for record in self.pending_appends:
            self.platform.append(record)
        self.pending_appends.clear()
        for claimant in self.claimants:
            self.platform.read(claimant.journal)

    @stateful.precondition(lambda self: self.pending_appends)
    @stateful.rule()
    def lose_append(self):
        """Drops an append, which never takes effect."""
        self.pending_appends.pop()

    @stateful.invariant()
    def check(self):
        """A process that may act has the current token; at most one has it."""
        lease = self.platform.journal.state.leases.get(NAME)
        for claimant in self.claimants:
            token = claimant.usable_token(self.now)
            if token is not None:
                assert lease.holder == claimant.keeper.holder
                assert lease.token == token


TestLeaseFuzz = LeaseMachine.TestCase


class TestLeaseKeeper:
    """Timing of claims when no append is lost."""

    def run(self, platform, claimants, start, seconds):
        """Runs claimants for a while; returns the claims that were sent."""
        sent = []
        for tick in range(int(seconds / TICK_S)):
            now = start + tick * TICK_S
            for claimant in claimants:
                platform.read(claimant.journal)
            records = [claimant.act(now) for claimant in claimants]
            for record in filter(None, records):
                sent.append(record)
                platform.append(record)
        return sent

    def test_holder_keeps_lease_and_renews_every_4_s(self):
        """Guards against renewals that are too frequent or too late."""
        platform = Platform()
        claimants = [Claimant(number, 0.0) for number in range(3)]
        sent = self.run(platform, claimants, 0.0, 60.0)
        assert {record.holder for record in sent} == {"h0"}
        assert 13 <= len(sent) <= 16
        assert claimants[0].usable_token(60.0) == 1

    def test_next_rank_takes_over_when_the_holder_fails(self):
        """Guards against a move that stops because it has no driver."""
        platform = Platform()
        claimants = [Claimant(number, 0.0) for number in range(3)]
        self.run(platform, claimants, 0.0, 10.0)
        sent = self.run(platform, claimants[1:], 10.0, 16.0)
        assert {record.holder for record in sent} == {"h1"}
        assert (
            claimants[1].usable_token(26.0)
            == platform.journal.offset - len(sent) + 1
        )
        assert claimants[0].usable_token(26.0) is None

    def test_idle_lease_is_not_claimed_by_all_at_once(self):
        """Guards against 1,200 claims when a move starts after a pause."""
        platform = Platform()
        claimants = [Claimant(number, 0.0) for number in range(40)]
        self.run(platform, claimants, 0.0, 10.0)
        sent = self.run(platform, claimants[1:], 500.0, 10.0)
        assert {record.holder for record in sent} == {"h1"}
        assert sent[0].previous != sent[1].previous

    def test_repeated_append_counts_from_its_first_sending(self):
        """Guards against acting on a claim that took effect long ago."""
        keeper = LeaseKeeper(NAME, "h", LeaseSettings())
        platform = Platform()
        record = keeper.decide(0.0, 0)
        keeper.mark_sent(0.0)
        platform.append(record)
        assert keeper.decide(1.0, 0) is None
        assert keeper.decide(7.0, 0) == record
        keeper.mark_sent(7.0)
        keeper.observe(platform.journal.state.leases[NAME], 7.5)
        assert keeper.usable_token(8.0) == 1
        assert keeper.usable_token(8.1) is None

    def test_another_holder_ends_the_hold_at_once(self):
        """Guards against acting after another process took the lease."""
        platform = Platform()
        claimants = [Claimant(number, 0.0) for number in range(2)]
        self.run(platform, claimants, 0.0, 1.0)
        assert claimants[0].usable_token(1.0) == 1
        taken = ClaimLease(
            id="x", based_on=1, name=NAME, holder="x", previous=1
        )
        platform.append(taken)
        self.run(platform, claimants, 1.0, 1.0)
        assert claimants[0].usable_token(1.0) is None

    def test_impossible_times_are_refused(self):
        """Guards against settings that let two holders act."""
        with pytest.raises(msgspec.ValidationError):
            msgspec.convert({"act_s": 12.5}, LeaseSettings)
