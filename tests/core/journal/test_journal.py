"""Tests of the fold at its limits and with invalid records."""

import typing

import pytest
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_core.configuration import (
    CallerClass,
    Change,
    MoveSpec,
    Remove,
    Route,
    Service,
    SetClass,
    SetMove,
    SetRoute,
    SetService,
    validate,
)
from vanillamast_core.errors import CodecError
from vanillamast_core.journal import (
    AdvanceMove,
    ClaimLease,
    HoldMove,
    Journal,
    LogEntry,
    OutcomeReason,
    Publish,
    SettleMove,
    StopMove,
    driver_lease_name,
    record_codec,
    record_handlers,
    record_kinds,
)

TEXT = st.sampled_from(["", "a", "b", "edge", "/", "/a", "1", "2", "\x00é"])
INTS = st.sampled_from([0, 1, 2, 3, -1, 2**63, -(2**63)])
FLOATS = st.sampled_from([0.0, 1.0, 0.5, -1.0, float("nan"), float("inf")])
TEXTS = st.lists(TEXT, max_size=2).map(tuple)
ARBITRARY_CHANGES = st.one_of(
    st.builds(SetService, TEXT, st.builds(Service, TEXT, INTS, INTS, FLOATS)),
    st.builds(SetService, TEXT, st.builds(Service, TEXT)),
    st.builds(
        SetRoute, TEXT, st.builds(Route, TEXT, TEXT, TEXTS, TEXTS, TEXT, INTS)
    ),
    st.builds(SetRoute, TEXT, st.builds(Route, TEXT, TEXT)),
    st.builds(SetClass, TEXT, st.builds(CallerClass, INTS, FLOATS, INTS)),
    st.builds(
        SetMove,
        TEXT,
        st.builds(
            MoveSpec,
            *(TEXT, TEXT, TEXT, FLOATS),
            st.lists(FLOATS, max_size=3).map(tuple),
            FLOATS,
        ),
    ),
    st.builds(Remove, st.sampled_from(["services", "moves"]), TEXT),
)
VALUES = {str: TEXT, int: INTS, float: FLOATS, bool: st.booleans()}
VALUES |= {bytes: st.binary(max_size=2)}
VALUES |= {tuple[Change, ...]: st.lists(ARBITRARY_CHANGES).map(tuple)}
ARBITRARY_RECORDS = st.one_of(
    st.builds(
        kind,
        **{
            name: VALUES[annotation]
            for name, annotation in typing.get_type_hints(kind).items()
            if name in kind.__struct_fields__
        },
    )
    for kind in record_kinds.entries.values()
)


class Log:
    """A log with a journal that folds it."""

    def __init__(self):
        self.journal = Journal()

    def append(self, kind, **fields):
        """Appends a record based on the current offset."""
        offset = self.journal.offset
        fields = {"id": f"id{offset}", "based_on": offset, **fields}
        return self.append_bytes(record_codec.encode(kind(**fields)))

    def append_bytes(self, data):
        """Appends bytes; returns the reason of the outcome."""
        entry = LogEntry(self.journal.offset + 1, data)
        return self.journal.apply(entry).reason


@pytest.fixture(name="log")
def make_log():
    """Returns a log that holds one service."""
    log = Log()
    change = SetService("s", Service("1"))
    assert log.append(Publish, changes=(change,)) == "accepted"
    return log


def start_move(name, new="2"):
    """Returns the changes that start a move."""
    return (SetMove(name, MoveSpec("s", "1", new, 9.0)),)


class TestInvalidRecords:
    """The fold continues whatever the log contains."""

    def test_every_kind_of_record_has_a_handler(self):
        """Guards against a kind that stops the fold of every node."""
        assert set(record_handlers) == set(record_kinds)

    @given(st.lists(ARBITRARY_RECORDS, max_size=30))
    def test_any_records_fold_fuzz(self, records):
        """Guards against values for which a handler raises."""
        log = Log()
        for record in records:
            log.append_bytes(record_codec.encode(record))
            state = log.journal.state
            assert validate(state.configuration, state.ended_moves()) == []
        copy = Journal()
        data = log.journal.snapshot()
        assert copy.load_snapshot(data) == bool(records)
        assert copy.snapshot() == data

    @given(ARBITRARY_RECORDS, st.integers(0, 200), st.binary(max_size=4))
    def test_damaged_bytes_fold_fuzz(self, record, at, damage):
        """Guards against bytes for which the decoder raises."""
        data = record_codec.encode(record)
        log = Log()
        log.append_bytes(data[:at] + damage + data[at + len(damage) :])
        assert log.journal.offset == 1

    @pytest.mark.parametrize("depth", [500, 2_000, 100_000])
    def test_nested_arrays_are_unreadable_at_any_depth(self, log, depth):
        """Guards against results that depend on the decoder's stack."""
        start = record_codec.encode(HoldMove(id="h", based_on=0, move="m"))
        surplus = bytes([start[0] + 1]) + start[1:] + b"\x91" * depth + b"\x90"
        assert log.append_bytes(surplus) is OutcomeReason.UNREADABLE
        assert log.journal.offset == 2

    @pytest.mark.parametrize("data", [b"", b"\x93\x02\x01\x80", b"\x91" * 9999])
    def test_malformed_snapshot_changes_nothing(self, log, data):
        """Guards against invalid bytes of a peer that destroy the state."""
        before = log.journal.snapshot()
        with pytest.raises(CodecError):
            log.journal.load_snapshot(data)
        assert log.journal.snapshot() == before


class TestLimits:
    """State that is dropped above a limit never lets a change repeat."""

    def test_dropped_move_does_not_start_again(self, log):
        """Guards against a full publish that restarts a stopped move."""
        for number in range(66):
            assert (
                log.append(Publish, changes=start_move(f"m{number}"))
                == "accepted"
            )
            stopped = log.append(StopMove, move=f"m{number}")
            assert stopped == "accepted"
        moves = log.journal.state.moves
        assert len(moves) == 64
        assert "m1" not in moves
        assert log.append(Publish, changes=start_move("m0")) == "accepted"
        assert log.append(Publish, changes=start_move("m0", "3")) == "invalid"
        assert "m0" not in log.journal.state.moves

    def test_late_repeat_of_dropped_publish_is_refused(self, log):
        """Guards against a late repeat that restores an old version."""
        changes = (SetService("t", Service("1")),)
        first = record_codec.encode(
            Publish(id="first", based_on=1, changes=changes)
        )
        assert log.append_bytes(first) == "accepted"
        copy = Journal()
        for number in range(1_030):
            log.append(Publish, changes=())
            if number == 1_020:
                copy.load_snapshot(log.journal.snapshot())
        assert len(log.journal.state.outcomes) == 1_024
        assert log.append_bytes(first) is OutcomeReason.CONFLICT
        for entry in log.journal.tail(copy.offset, 100_000):
            copy.apply(entry)
        assert copy.snapshot() == log.journal.snapshot()

    def test_repeat_after_dropped_removals_is_refused(self, log):
        """Guards against a late repeat that restores a removed object."""
        for number in range(1_030):
            change = SetClass(f"c{number}", CallerClass())
            log.append(Publish, changes=(change,))
            log.append(Publish, changes=(Remove("classes", f"c{number}"),))
        state = log.journal.state
        assert len(state.removed_at) == 1_024
        stale = log.append(
            Publish, based_on=1, changes=(SetClass("c0", CallerClass()),)
        )
        assert stale is OutcomeReason.CONFLICT

    def test_tail_keeps_its_bounds_and_asks_for_a_snapshot(self, log):
        """Guards against a tail without limit or with a gap."""
        for _ in range(1_100):
            log.append(Publish, changes=(), label="x" * 400)
        journal = log.journal
        assert journal.entries_bytes <= 262_144
        first = journal.entries[0].offset
        assert journal.tail(first - 2, 10**9) is None
        assert len(journal.tail(first - 1, 10**9)) == len(journal.entries)
        assert journal.tail(journal.offset, 1) == []

    def test_settled_version_is_kept_until_the_node_applies_it(self, log):
        """Guards against traffic that returns to the old version meanwhile."""
        log.append(Publish, changes=start_move("m"))
        claim = {"name": driver_lease_name("s"), "holder": "h", "previous": 0}
        log.append(ClaimLease, **claim)
        token = log.journal.offset
        for step in range(-1, 4):
            log.append(AdvanceMove, move="m", from_step=step, token=token)
        state = log.journal.state
        assert state.settled_version("s", 2) is None
        assert log.append(SettleMove, move="m", token=token) == "accepted"
        assert state.settled_version("s", 2) == "2"
        assert state.settled_version("s", state.version) is None

    def test_two_moves_cannot_share_an_identity(self, log):
        """Guards against an alarm for one move that rolls back another."""
        log.append(Publish, changes=(SetService("t", Service("1")),))
        other = SetMove("n", MoveSpec("t", "1", "2", 9.0))
        both = (*start_move("m"), other)
        assert log.append(Publish, changes=both) == "invalid"
        assert log.append(Publish, changes=(other,)) == "accepted"
