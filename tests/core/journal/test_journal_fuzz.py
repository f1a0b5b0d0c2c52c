"""Stateful tests of the fold against an oracle that scans the history."""

import hypothesis
import hypothesis.stateful as stateful
import msgspec
import pytest
from hypothesis import strategies as st
from vanillamast_core.configuration import (
    EDGE,
    Configuration,
    MoveSpec,
    Remove,
    Route,
    RoutingTable,
    Service,
    SetMove,
    SetRoute,
    SetService,
    validate,
)
from vanillamast_core.journal import (
    AdvanceMove,
    Beacon,
    ClaimLease,
    DrainInstance,
    GapError,
    HoldMove,
    Journal,
    LogEntry,
    OutcomeReason,
    Publish,
    RestoreError,
    ResumeMove,
    SettleMove,
    SnapshotSettings,
    SnapshotWriter,
    StopMove,
    TakeBack,
    driver_lease_name,
    record_codec,
    restore_from_log,
)

SERVICES = st.sampled_from(["s1", "s2"])
SERVER_VERSIONS = st.sampled_from(["1", "2"])
MOVES = st.sampled_from(["m1", "m2", "m3"])
HOLDERS = st.sampled_from(["h1", "h2"])
STEPS = st.sampled_from([(0.1, 1.0), (0.2, 0.5, 1.0), (1.0,)])
CHANGES = st.one_of(
    st.builds(SetService, SERVICES, st.builds(Service, SERVER_VERSIONS)),
    st.builds(
        SetRoute,
        st.sampled_from(["r1", "r2"]),
        st.builds(
            Route,
            st.sampled_from(["/x", "/y"]),
            SERVICES,
            callers=st.sampled_from([(EDGE,), ("s1",), ("s2", EDGE)]),
        ),
    ),
    st.builds(
        SetMove,
        MOVES,
        st.builds(
            MoveSpec,
            SERVICES,
            SERVER_VERSIONS,
            SERVER_VERSIONS,
            st.just(9.0),
            STEPS,
        ),
    ),
    st.builds(Remove, st.just("services"), SERVICES),
    st.builds(Remove, st.just("routes"), st.sampled_from(["r1", "r2"])),
    st.builds(Remove, st.just("moves"), MOVES),
)
# A base on which most further records are accepted.
BASE = (
    SetService("s1", Service("1")),
    SetService("s2", Service("1")),
    SetRoute("r1", Route("/x", "s1")),
)
KIND_OF = {SetService: "services", SetRoute: "routes", SetMove: "moves"}
INVALID_BYTES = b"\xc1"  # Never used in MessagePack.
ENDED = {"settled", "taken_back", "stopped"}


def target(change):
    """Returns the kind and name of the object that a change affects."""
    if isinstance(change, Remove):
        return change.kind, change.name
    return KIND_OF[type(change)], change.name


class Oracle:
    """Computes answers by scanning the list of accepted records.

    Attributes:
      history: Accepted records with their offsets.
      reasons: First outcome by id.
    """

    def __init__(self):
        self.history = []
        self.reasons = {}
        self.known_moves = {}

    def configuration(self):
        """Returns services, routes and moves by replaying the history."""
        tables = {"services": {}, "routes": {}, "moves": {}}
        for offset, record in self.history:
            if isinstance(record, Publish):
                self.edit(tables, record.changes)
            if isinstance(record, SettleMove):
                spec = self.moves(offset)[record.move]["spec"]
                service = tables["services"][spec.service]
                tables["services"][spec.service] = msgspec.structs.replace(
                    service, version=spec.new
                )
        return tables

    def edit(self, tables, changes):
        """Applies changes; returns whether all could be applied."""
        for change in changes:
            kind, name = target(change)
            if not isinstance(change, Remove):
                tables[kind][name] = change.value
            elif tables[kind].pop(name, None) is None:
                return False
        return True

    def moves(self, before):
        """Returns all moves ever started before an offset, by name."""
        past = tuple(entry for entry in self.history if entry[0] < before)
        if len(past) not in self.known_moves:
            self.known_moves[len(past)] = self.scan_moves(past)
        return self.known_moves[len(past)]

    def scan_moves(self, past):
        """Returns all moves that a prefix of the history started."""
        moves = {}
        ends = {SettleMove: "settled", StopMove: "stopped"}
        states = {**ends, HoldMove: "held", ResumeMove: "running"}
        for offset, record in past:
            if isinstance(record, Publish):
                # Of several changes of an object, the last one counts.
                for change in {target(c): c for c in record.changes}.values():
                    if isinstance(change, SetMove):
                        new = {"spec": change.value, "start": offset}
                        new |= {"state": "running", "step": -1, "last": offset}
                        moves.setdefault(change.name, new)
            elif isinstance(record, TakeBack):
                (move,) = (
                    m for m in moves.values() if m["start"] == record.started_at
                )
                move |= {"state": "taken_back", "last": offset}
            elif isinstance(record, AdvanceMove):
                move = moves[record.move]
                step = record.from_step + 1
                done = move["spec"].steps[step] == 1.0
                move |= {"step": step, "last": offset}
                move["state"] = "done" if done else "running"
            elif type(record) in states:
                state = states[type(record)]
                moves[record.move] |= {"state": state, "last": offset}
        return moves

    def lease(self, name):
        """Returns holder, token and last renewal of a lease."""
        holder, token, renewed_at = None, 0, 0
        for offset, record in self.history:
            if isinstance(record, ClaimLease) and record.name == name:
                token = token if record.holder == holder else offset
                holder, renewed_at = record.holder, offset
        return holder, token, renewed_at

    def changed(self, kind, name):
        """Returns the offset of the last change of an object."""
        last = 0
        for offset, record in self.history:
            if isinstance(record, Publish):
                if (kind, name) in map(target, record.changes):
                    last = offset
            elif isinstance(record, DrainInstance):
                if (kind, name) == ("drains", record.instance):
                    last = offset
            elif isinstance(record, SettleMove):
                spec = self.moves(offset)[record.move]["spec"]
                if (kind, name) == ("services", spec.service):
                    last = offset
        return last

    def expect(self, offset, record):
        """Returns the expected reason for a record, and stores it."""
        idempotent = isinstance(record, Beacon | ClaimLease)
        if not idempotent and record.id in self.reasons:
            return self.reasons[record.id]
        reason = self.reason(offset, record)
        self.reasons[record.id] = reason
        if reason == "accepted":
            self.history.append((offset, record))
        return reason

    def reason(self, offset, record):
        """Returns the reason according to the design."""
        match record:
            case Publish():
                return self.reason_publish(offset, record)
            case ClaimLease():
                current = self.lease(record.name)[2]
                return "accepted" if record.previous == current else "conflict"
            case DrainInstance():
                last = self.changed("drains", record.instance)
                if record.based_on >= offset or last > record.based_on:
                    return "conflict"
                return "accepted"
            case Beacon():
                return "accepted"
            case _:
                return self.reason_move(offset, record)

    def reason_publish(self, offset, record):
        """Checks for a conflict first, then the validity of the result."""
        last = [self.changed(*target(c)) for c in record.changes]
        if record.based_on >= offset or max(last, default=0) > record.based_on:
            return "conflict"
        tables = self.configuration()
        known = self.moves(offset)
        valid = self.edit(tables, record.changes) and self.valid(tables, known)
        return "accepted" if valid else "invalid"

    def valid(self, tables, known):
        """Returns whether a result is valid."""
        services, routes, specs = tables.values()
        paths = [route.path for route in routes.values()]
        new = [name for name in specs if name not in known]
        active = [n for n, m in known.items() if m["state"] not in ENDED] + new
        moved = [specs[name].service for name in active if name in specs]
        return (
            all(r.service in services for r in routes.values())
            and all({*r.callers} <= {*services, EDGE} for r in routes.values())
            and len(paths) == len(set(paths))
            and len(new) <= 1
            and all(n in specs for n in active)
            and all(known[n]["spec"] == specs[n] for n in specs if n in known)
            and all(s.old != s.new for s in specs.values())
            and all(s in services for s in moved)
            and all(
                services[specs[n].service].version == specs[n].old
                for n in active
            )
            and len(moved) == len(set(moved))
        )

    def reason_move(self, offset, record):
        """Applies the rules on records that change a move."""
        moves = self.moves(offset)
        if isinstance(record, TakeBack):
            found = [
                m for m in moves.values() if m["start"] == record.started_at
            ]
            move = found[0] if found else None
        else:
            move = moves.get(record.move)
        if move is None:
            return "unknown_move"
        states = ["running", "held", "done"]
        if isinstance(record, AdvanceMove | SettleMove):
            if move["start"] > record.based_on:
                return "unknown_move"
            token = self.lease(driver_lease_name(move["spec"].service))[1]
            if not token or record.token != token:
                return "fenced"
            advance = isinstance(record, AdvanceMove)
            states = ["running"] if advance else ["done"]
            if advance and record.from_step != move["step"]:
                return "wrong_state"
        elif not isinstance(record, TakeBack):
            if record.based_on >= offset or move["last"] > record.based_on:
                return "conflict"
            wanted = {HoldMove: ["running"], ResumeMove: ["held"]}
            states = wanted.get(type(record), states)
        return "accepted" if move["state"] in states else "wrong_state"


class JournalMachine(stateful.RuleBasedStateMachine):
    """One log, and nodes that read different prefixes of it in several ways.

    Node 0 reads each entry when it is appended.
    """

    def __init__(self):
        super().__init__()
        self.log = []
        self.oracle = Oracle()
        self.nodes = [Journal() for _ in range(3)]
        self.states = {0: Journal().snapshot()}
        self.digests = {}
        self.versions = [0, 0, 0]
        self.tables = [RoutingTable(f"s{n}", n == 0) for n in range(3)]
        self.configurations = {0: Configuration()}
        self.now = 0.0
        self.final = {}
        self.parts = []
        self.delayed_parts = []

    @property
    def head(self):
        """The node that has read the whole log."""
        return self.nodes[0]

    def append(self, data):
        """Appends bytes; node 0 folds them."""
        entry = LogEntry(len(self.log) + 1, data)
        self.log.append(entry)
        before = self.state_without_outcomes()
        outcome = self.head.apply(entry)
        self.states[entry.offset] = self.head.snapshot()
        state = self.head.state
        self.configurations.setdefault(state.version, state.configuration)
        if not outcome.accepted or outcome.offset < entry.offset:
            assert self.state_without_outcomes() == before, "all-or-nothing"
        return outcome

    def send(self, record):
        """Appends a record and compares its outcome with the oracle's."""
        outcome = self.append(record_codec.encode(record))
        expected = self.oracle.expect(len(self.log), record)
        assert outcome.reason == expected, outcome
        assert outcome.id == record.id

    def state_without_outcomes(self):
        """Returns the state of node 0 without the outcomes."""
        state = msgspec.structs.replace(self.head.state, outcomes={})
        return msgspec.msgpack.encode(state, order="deterministic")

    def fields(self, behind):
        """Returns a new id and a `based_on` so many entries behind."""
        based_on = max(0, len(self.log) - behind)
        return {"id": f"id{len(self.log)}", "based_on": based_on}

    @stateful.initialize()
    def start(self):
        """Publishes a base, claims the drivers' leases and starts a move."""
        self.send(Publish(**self.fields(0), changes=BASE))
        for service in ("s1", "s2"):
            self.claim(service, "h1", True, 0)
        self.start_move("s1", (0.1, 1.0), "2")

    @stateful.rule(
        service=SERVICES, steps=STEPS, new=st.sampled_from(["2", "3"])
    )
    def start_move(self, service, steps, new):
        """An operator starts a move, which is mostly valid."""
        services = self.oracle.configuration()["services"]
        old = services[service].version if service in services else "1"
        spec = MoveSpec(service, old, new, 9.0, steps)
        name = f"m{len(self.log)}"
        self.send(Publish(**self.fields(0), changes=(SetMove(name, spec),)))

    @stateful.rule(index=st.integers(0, 3), at_once=st.booleans())
    def remove_and_restore_move(self, index, at_once):
        """An operator removes a move and sets it again unchanged."""
        name = self.move_name(index)
        known = self.oracle.moves(len(self.log) + 1)
        if name not in known:
            return
        changes = (Remove("moves", name), SetMove(name, known[name]["spec"]))
        if at_once:
            self.send(Publish(**self.fields(0), changes=changes))
            return
        for change in changes:
            self.send(Publish(**self.fields(0), changes=(change,)))

    @stateful.rule(index=st.integers(0, 3))
    def drive(self, index):
        """A driver with current state takes the next step."""
        name = self.move_name(index)
        move = self.oracle.moves(len(self.log) + 1).get(name)
        if move is None:
            return
        if move["state"] == "done":
            self.settle(index, 0)
        else:
            self.advance(index, 0, 0, 0)

    def move_name(self, index):
        """Returns a move's name, the latest first; "m1" if there is none."""
        names = list(self.oracle.moves(len(self.log) + 1))
        return names[-1 - index % len(names)] if names else "m1"

    # A negative `behind` is an offset that does not exist yet.
    @stateful.rule(
        changes=st.lists(CHANGES, max_size=3), behind=st.integers(-1, 5)
    )
    def publish(self, changes, behind):
        """Operators publish, sometimes based on an older state."""
        self.send(Publish(**self.fields(behind), changes=tuple(changes)))

    @stateful.rule(
        service=SERVICES,
        holder=HOLDERS,
        current=st.booleans(),
        back=st.integers(1, 9),
    )
    def claim(self, service, holder, current, back):
        """A claimant claims a lease, with current or outdated state."""
        name = driver_lease_name(service)
        previous = self.oracle.lease(name)[2]
        if not current:
            previous = max(0, previous - back)
        fields = {"name": name, "holder": holder, "previous": previous}
        self.send(ClaimLease(**self.fields(0), **fields))

    def token(self, move, stale):
        """Returns the driver's token for a move, or a stale one."""
        known = self.oracle.moves(len(self.log) + 1).get(move)
        service = known["spec"].service if known else "s1"
        name = driver_lease_name(service)
        if not stale:
            return self.oracle.lease(name)[1]
        return max(0, self.oracle.lease(name)[1] - stale)

    @stateful.rule(
        index=st.integers(0, 3),
        stale=st.sampled_from([0, 0, 0, 1, 3]),
        skip=st.sampled_from([0, 0, 0, 0, 1, -1]),
        behind=st.sampled_from([0, 0, 0, 4]),
    )
    def advance(self, index, stale, skip, behind):
        """A driver advances a move, sometimes after it lost its lease."""
        move = self.move_name(index)
        known = self.oracle.moves(len(self.log) + 1).get(move)
        step = known["step"] if known else -1
        token = self.token(move, stale)
        fields = {"move": move, "from_step": step + skip, "token": token}
        self.send(AdvanceMove(**self.fields(behind), **fields))

    @stateful.rule(index=st.integers(0, 3), stale=st.sampled_from([0, 0, 0, 2]))
    def settle(self, index, stale):
        """A driver settles a move."""
        move = self.move_name(index)
        token = self.token(move, stale)
        self.send(SettleMove(**self.fields(0), move=move, token=token))

    @stateful.rule(
        kind=st.sampled_from([HoldMove, ResumeMove, ResumeMove, StopMove]),
        index=st.integers(0, 3),
        behind=st.sampled_from([0, 0, 1, 3, -1]),
    )
    def act_as_operator(self, kind, index, behind):
        """An operator holds, resumes or stops a move."""
        move = self.move_name(index)
        self.send(kind(**self.fields(behind), move=move))

    @stateful.rule(index=st.integers(0, 3), off=st.sampled_from([0, 0, 0, 1]))
    def take_back(self, index, off):
        """A judge rolls a move back, or one that does not exist."""
        known = self.oracle.moves(len(self.log) + 1)
        name = self.move_name(index)
        started_at = off + (known[name]["start"] if name in known else 0)
        record = TakeBack(
            **self.fields(0), started_at=started_at, reason="failures"
        )
        self.send(record)

    @stateful.rule(drained=st.booleans(), behind=st.integers(-1, 4))
    def drain(self, drained, behind):
        """An operator drains an instance, or ends the drain."""
        fields = self.fields(behind)
        self.send(DrainInstance(**fields, instance="i", drained=drained))

    @stateful.rule(index=st.integers(0, 60))
    def repeat(self, index):
        """An append is repeated, immediately or much later."""
        index %= len(self.log)
        data = self.log[index].data
        if index in dict(self.parts):
            self.append_part(dict(self.parts)[index])
        elif data.startswith(INVALID_BYTES):
            self.append(data)
        else:
            self.send(record_codec.decode(data))

    @stateful.rule(data=st.binary(max_size=6))
    def append_beacon_and_invalid_bytes(self, data):
        """Appends a beacon, and bytes that are not a record."""
        fields = {"failure_domain": "d", "instance": "i", "address": "a"}
        self.send(Beacon(**self.fields(0), **fields))
        outcome = self.append(INVALID_BYTES + data)
        assert outcome.reason is OutcomeReason.UNREADABLE

    def append_part(self, chunk):
        """Appends a part of a snapshot."""
        self.parts.append((len(self.log), chunk))
        assert self.append(record_codec.encode(chunk)).accepted

    @stateful.rule(
        node=st.integers(0, 2), missing=st.none() | st.integers(0, 9)
    )
    def write_snapshot(self, node, missing):
        """A node writes a snapshot; one part may arrive late or never."""
        writer = SnapshotWriter(SnapshotSettings(chunk_bytes=300))
        chunks = writer.decide(self.nodes[node], 0.0)
        if chunks and missing is not None:
            self.delayed_parts.append(chunks.pop(missing % len(chunks)))
        for chunk in reversed(chunks):
            self.append_part(chunk)

    @stateful.precondition(lambda self: self.delayed_parts)
    @stateful.rule()
    def write_delayed_part(self):
        """A delayed part of a snapshot is appended."""
        self.append_part(self.delayed_parts.pop())

    @stateful.rule(node=st.integers(1, 2), count=st.integers(1, 30))
    def read(self, node, count):
        """A node reads from the log, possibly entries that it already has."""
        journal = self.nodes[node]
        first = max(0, journal.offset - 1)
        for entry in self.log[first : first + count]:
            journal.apply(entry)

    @stateful.rule(
        node=st.integers(1, 2),
        source=st.integers(0, 2),
        limit_bytes=st.sampled_from([1, 400, 100_000]),
    )
    def catch_up(self, node, source, limit_bytes):
        """A node gets entries from another node, or else its snapshot."""
        journal, other = self.nodes[node], self.nodes[source]
        behind = journal.offset < other.offset
        entries = other.tail(journal.offset, limit_bytes)
        if entries is None:
            assert behind
            self.load(node, source)
            return
        assert bool(entries) == behind, "no progress"
        offsets = [entry.offset for entry in entries]
        first = journal.offset + 1
        assert offsets == [*range(first, first + len(offsets))]
        for entry in entries:
            journal.apply(entry)

    @stateful.rule(node=st.integers(1, 2), source=st.integers(0, 2))
    def load(self, node, source):
        """A node gets a snapshot from another node, newer or not."""
        journal, other = self.nodes[node], self.nodes[source]
        newer = other.offset > journal.offset
        assert journal.load_snapshot(other.snapshot()) == newer

    @stateful.rule(node=st.integers(1, 2))
    def restart(self, node):
        """A node loses its state, like a replaced instance."""
        self.nodes[node] = Journal()
        self.versions[node] = 0
        self.tables[node] = RoutingTable(f"s{node}", False)

    @stateful.rule(node=st.integers(1, 2))
    def skip_entry(self, node):
        """A node is offered an entry too early."""
        journal = self.nodes[node]
        with pytest.raises(GapError):
            journal.apply(LogEntry(journal.offset + 2, b""))

    @stateful.rule(dropped=st.integers(0, 60))
    def restore(self, dropped):
        """A new node restores its state from the retained log."""
        dropped %= len(self.log)
        retained = self.log[dropped:]
        found = {}
        for index, chunk in self.parts:
            if index >= dropped:
                key = (chunk.offset, chunk.count)
                found.setdefault(key, set()).add(chunk.index)
        closed = [
            offset
            for (offset, count), seen in found.items()
            if len(seen) == count and offset >= dropped
        ]
        if dropped and not closed:
            with pytest.raises(RestoreError):
                restore_from_log(retained)
            return
        restored = restore_from_log(retained)
        assert restored.snapshot() == self.head.snapshot()
        assert restored.tail(max(closed, default=0), 1) is not None

    @stateful.invariant()
    def equal_prefixes_give_equal_bytes(self):
        """The same prefix gives the same state, byte for byte."""
        for journal in self.nodes:
            assert journal.snapshot() == self.states[journal.offset]
            digest = self.digests.setdefault(journal.offset, journal.digest())
            assert journal.digest() == digest
        assert len(set(self.digests.values())) == len(self.digests)

    @stateful.invariant()
    def versions_never_fall(self):
        """no-rollback: a node's version never decreases while it runs."""
        for number, journal in enumerate(self.nodes):
            assert journal.state.version >= self.versions[number]
            self.versions[number] = journal.state.version

    @stateful.invariant()
    def nodes_apply_what_they_read(self):
        """no-rollback, no-dangling-route, in-force: checked on each node."""
        self.now += 1.0
        for journal, table in zip(self.nodes, self.tables, strict=True):
            state, before = journal.state, table.applied_version
            table.update(
                state.version,
                state.configuration,
                self.now,
                {"s1"}.__contains__,
            )
            assert before <= table.applied_version <= state.version
            applied = self.configurations[table.applied_version]
            assert table.routes == table.select_routes(applied)
            for route in table.routes.values():
                held = table.services[route.service]
                assert held == applied.services[route.service]
            assert table.pending or applied == state.configuration

    @stateful.invariant()
    def configuration_is_whole(self):
        """no-dangling-route, all-or-nothing: valid, equal to the oracle's."""
        state = self.head.state
        assert validate(state.configuration, state.ended_moves()) == []
        assert state.configuration == Configuration(
            **self.oracle.configuration()
        )

    @stateful.invariant()
    def shares_are_authorized(self):
        """Shares equal those that the history authorizes."""
        moves = self.oracle.moves(len(self.log) + 1)
        assert moves.keys() == self.head.state.moves.keys()
        for name, known in moves.items():
            move = self.head.state.moves[name]
            steps = (*known["spec"].steps, 0.0)
            share = steps[known["step"]]
            if known["state"] in ("taken_back", "stopped"):
                share = 0.0
            assert move.share == share, "bounded-exposure"
            assert (move.state, move.started_at) == (
                known["state"],
                known["start"],
            )

    @stateful.invariant()
    def final_states_are_absorbing(self):
        """Moves in a final state (taken back, stopped, settled) stay there."""
        for move in self.head.state.moves.values():
            if move.started_at in self.final:
                assert move == self.final[move.started_at]
            elif move.state.final:
                self.final[move.started_at] = move


TestJournalFuzz = JournalMachine.TestCase
# Rare orders of records need more runs than the default of the CI profile.
TestJournalFuzz.settings = hypothesis.settings(
    max_examples=max(250, hypothesis.settings.default.max_examples)
)
