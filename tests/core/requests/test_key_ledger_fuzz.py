"""Fuzzing of idempotency keys over nodes with different membership views."""

import dataclasses
import random
import uuid

from hypothesis import given, settings
from hypothesis import strategies as st
from vanillamast_core.peers import ClaimKey, KeyAnswer, KeyState, SettleKey
from vanillamast_core.requests import KeyLedger, RequestSettings, find_home_node

SERVICE = "crew-desk"
SETTINGS = RequestSettings(key_capacity=30)
WALL = 1.8e9  # Wall time at monotonic time 0.
VIEW_LAG_S = 12.0  # Longest time until all nodes know a membership change.
CLOCK_SKEW_S = 2.0  # Largest error of a caller's clock.
MAX_PARTITION_S = 60.0
INSTANCES = [f"i{index}" for index in range(5)]


@dataclasses.dataclass
class Node:
    """One instance: its ledger and its view of the membership."""

    name: str
    ledger: KeyLedger | None
    view: frozenset[str]
    member_lost_at: float = -1e9  # When it last noticed a loss.


@dataclasses.dataclass
class Key:
    """One idempotency key and the times at which its request ran."""

    name: str
    runs: list[float] = dataclasses.field(default_factory=list)
    first_attempt: float = 0.0


class Mesh:
    """Nodes of one service with failures, outdated views and a partition."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.keys: list[Key] = []
        self.claims = 0
        self.grants = 0
        self.alive = set(INSTANCES)
        self.left: set[str] = set()
        self.partition_side: frozenset[str] = frozenset()
        self.partitioned_at = 0.0
        self.healed_at = 0.0
        self.changed_at: float | None = None
        view = frozenset(INSTANCES)
        self.nodes = {name: Node(name, None, view) for name in INSTANCES}
        for node in self.nodes.values():
            self.start_ledger(node)
        # Longer than the key retention and margin, so that the homes grant keys
        # of any form.
        self.now = 700.0

    # Membership.

    def start_ledger(self, node: Node) -> None:
        """Starts an instance with an empty ledger."""
        node.ledger = KeyLedger(SETTINGS, SERVICE, node.name)
        hold = SETTINGS.key_hold_s + SETTINGS.key_margin_s
        self.push_view(node, self.now - node.member_lost_at < hold)

    def push_view(self, node: Node, member_lost: bool) -> None:
        """Passes a node's view to its ledger."""
        if node.ledger is not None:
            members = sorted(node.view)
            node.ledger.set_members(members, member_lost, self.now)

    def true_view(self, node: Node) -> frozenset[str]:
        """Returns the view that a node should have."""
        reachable = self.reachable_from(node.name)
        return frozenset(n for n in self.alive - self.left if n in reachable)

    def reachable_from(self, name: str) -> frozenset[str]:
        """Returns the instances that an instance can reach."""
        everyone = frozenset(INSTANCES)
        if not self.partition_side:
            return everyone
        return (
            self.partition_side
            if name in self.partition_side
            else everyone - self.partition_side
        )

    def update_view(self, node: Node) -> None:
        """Brings one node's view up to date."""
        true_view = self.true_view(node)
        if node.name in self.alive and true_view != node.view:
            member_lost = bool(node.view - true_view - self.left)
            if member_lost:
                node.member_lost_at = self.now
            node.view = true_view
            self.push_view(node, member_lost)

    def update_one_view(self) -> None:
        """Brings one random node's view up to date."""
        self.update_view(self.nodes[self.rng.choice(INSTANCES)])

    def start_view_lag(self) -> None:
        """Starts the time within which all nodes learn of a change."""
        if self.changed_at is None:
            self.changed_at = self.now

    def crash(self) -> None:
        """Crashes an instance, which loses its ledger."""
        name = self.rng.choice(INSTANCES)
        if len(self.alive - self.left) > 2 and name in self.alive:
            self.alive.discard(name)
            self.nodes[name].ledger = None
            self.start_view_lag()

    def leave(self) -> None:
        """Stops an instance as planned, with an announcement."""
        name = self.rng.choice(INSTANCES)
        if len(self.alive - self.left) > 2 and name in self.alive:
            self.left.add(name)
            self.start_view_lag()
            self.update_view(self.nodes[name])

    def restart(self) -> None:
        """Restarts a missing instance with the view of another node."""
        missing = [
            n for n in INSTANCES if n not in self.alive or n in self.left
        ]
        if not missing:
            return
        name = self.rng.choice(missing)
        reachable = sorted((self.alive & self.reachable_from(name)) - {name})
        if not reachable:
            # Without a peer it has no configuration and routes nothing.
            return
        self.alive.add(name)
        self.left.discard(name)
        self.start_view_lag()
        node = self.nodes[name]
        other = self.nodes[self.rng.choice(reachable)]
        # It copies the other instance's state, including records of failures.
        node.view = other.view | {name}
        node.member_lost_at = other.member_lost_at
        self.start_ledger(node)

    def partition(self) -> None:
        """Starts a partition, or ends the current one."""
        if self.partition_side:
            self.partition_side = frozenset()
            self.healed_at = self.now
        elif self.now - self.healed_at > VIEW_LAG_S:
            # To a node that is not updated in between, two partitions are one
            # long partition.
            count = self.rng.randint(1, len(INSTANCES) - 1)
            self.partition_side = frozenset(self.rng.sample(INSTANCES, count))
            self.partitioned_at = self.now
        self.start_view_lag()

    def advance(self) -> None:
        """Lets time pass; enforces the limits on view lag and partitions."""
        self.now += self.rng.choice([0.1, 1.0, 5.0, 20.0, 70.0, 400.0])
        if (
            self.partition_side
            and self.now - self.partitioned_at > MAX_PARTITION_S
        ):
            self.now = self.partitioned_at + MAX_PARTITION_S
            self.partition()
        changed_at = self.changed_at
        if changed_at is not None and self.now - changed_at > VIEW_LAG_S:
            self.now = changed_at + VIEW_LAG_S
            self.changed_at = None
            for node in self.nodes.values():
                self.update_view(node)

    # Callers.

    def new_key(self) -> Key:
        """Creates a caller's key, mostly a UUIDv7 from the caller's clock."""
        name = self.rng.randbytes(8).hex()
        if self.rng.random() < 0.7:
            skew = self.rng.uniform(-CLOCK_SKEW_S, CLOCK_SKEW_S)
            created_ms = int((WALL + self.now + skew) * 1000)
            random_bits = self.rng.getrandbits(74)
            value = created_ms << 80 | 7 << 76 | random_bits >> 62 << 64
            value |= 2 << 62 | random_bits & (1 << 62) - 1
            name = str(uuid.UUID(int=value))
        key = Key(name, first_attempt=self.now)
        self.keys.append(key)
        return key

    def attempt(self) -> None:
        """Sends a caller's request with a new or an older key."""
        key = self.new_key()
        if len(self.keys) > 1 and self.rng.random() < 0.7:
            key = self.rng.choice(self.keys[-8:])
        # The guarantee covers attempts within the retention only.
        if self.now - key.first_attempt >= SETTINGS.key_retention_s:
            return
        entry = self.nodes[self.rng.choice(sorted(self.alive))]
        home = find_home_node(SERVICE, key.name, sorted(entry.view))
        ledger = self.nodes[home].ledger if home else None
        if ledger is None or home not in self.reachable_from(entry.name):
            return
        self.claims += 1
        claim = f"c{self.claims}"
        answer = ledger.claim(
            ClaimKey(SERVICE, key.name, claim), self.now, WALL + self.now
        )
        if answer.state is KeyState.GRANTED:
            self.grants += 1
            self.run(key, home, claim, answer)

    def run(self, key: Key, home: str, claim: str, answer: KeyAnswer) -> None:
        """Runs the request and settles the claim, or fails before that."""
        ended = self.rng.choice(["ran", "not run", "unclear", "lost"])
        if ended != "not run":
            key.runs.append(self.now)
            assert len(key.runs) == 1, "a request ran twice"
        ledger = self.nodes[home].ledger
        assert ledger is not None
        status = {"ran": 201, "not run": 0, "unclear": -1}.get(ended)
        if status is not None:
            settle = SettleKey(SERVICE, key.name, claim, status)
            ledger.settle(settle, self.now)

    def settle_unknown_claim(self) -> None:
        """Delivers a settlement of an unknown claim."""
        key = self.rng.choice(self.keys) if self.keys else self.new_key()
        for node in self.nodes.values():
            if node.ledger is not None:
                settle = SettleKey(SERVICE, key.name, "late", 0)
                node.ledger.settle(settle, self.now)


OPERATIONS = [
    *[Mesh.attempt] * 12,
    *[Mesh.advance] * 4,
    *[Mesh.update_one_view] * 3,
    Mesh.crash,
    Mesh.leave,
    *[Mesh.restart] * 2,
    Mesh.partition,
    Mesh.settle_unknown_claim,
]


class TestKeyLedger:
    """Claims and settlements at the home nodes of keys."""

    @settings(max_examples=max(300, settings().max_examples))
    @given(seed=st.integers(0, 2**32 - 1), length=st.integers(100, 250))
    def test_key_ledger_fuzz(self, seed: int, length: int) -> None:
        """Guards against a second run of a POST under any one failure."""
        mesh = Mesh(seed)
        for _ in range(length):
            mesh.rng.choice(OPERATIONS)(mesh)

    def test_stable_homes_grant(self) -> None:
        """Guards against a ledger that is safe only because it refuses all."""
        mesh = Mesh(1)
        for _ in range(20):
            mesh.attempt()
        assert mesh.grants >= 5

    def test_answers_tell_what_happened(self) -> None:
        """Guards against wrong answers to a second attempt."""
        ledger = KeyLedger(SETTINGS, SERVICE, "i0")
        ledger.set_members(["i0"], False, 0.0)

        def claim(key: str, name: str, fingerprint: bytes = b"") -> KeyAnswer:
            message = ClaimKey(SERVICE, key, name, fingerprint)
            return ledger.claim(message, 700.0, WALL + 700.0)

        assert claim("a", "1").state is KeyState.GRANTED
        assert claim("a", "1").state is KeyState.GRANTED
        assert claim("a", "2").state is KeyState.RUNNING
        assert claim("a", "2", b"other").state is KeyState.UNCLEAR
        ledger.settle(SettleKey(SERVICE, "a", "2", 0), 700.0)
        assert claim("a", "2").state is KeyState.RUNNING
        ledger.settle(SettleKey(SERVICE, "a", "1", 201), 700.0)
        assert claim("a", "2") == KeyAnswer(KeyState.RAN, 201)
        assert claim("b", "3").state is KeyState.GRANTED
        ledger.settle(SettleKey(SERVICE, "b", "3", 0), 700.0)
        assert claim("b", "4").state is KeyState.GRANTED

    def test_full_ledger_refuses(self) -> None:
        """Guards against dropping a key that is still in its retention."""
        ledger = KeyLedger(SETTINGS, SERVICE, "i0")
        ledger.set_members(["i0"], False, 0.0)
        states = [
            ledger.claim(
                ClaimKey(SERVICE, str(key), "c"), 700.0, WALL + 700.0
            ).state
            for key in range(SETTINGS.key_capacity + 1)
        ]
        assert states[:-1] == [KeyState.GRANTED] * SETTINGS.key_capacity
        assert states[-1] is KeyState.UNCLEAR

    def test_unaffected_keys_stay_with_their_home(self) -> None:
        """Guards against refusing old keys after every membership change."""
        ledger = KeyLedger(SETTINGS, SERVICE, "i0")
        ledger.set_members(["i0", "i1", "i2"], False, 0.0)
        ledger.set_members(["i0", "i1"], False, 690.0)
        before, after = ["i0", "i1", "i2"], ["i0", "i1"]
        keys = [f"key-{index}" for index in range(20)]
        kept = [k for k in keys if find_home_node(SERVICE, k, before) == "i0"]
        assert len(kept) >= 3
        for key in keys:
            claim = ClaimKey(SERVICE, key, "c")
            state = ledger.claim(claim, 700.0, WALL + 700.0).state
            assert (state is KeyState.GRANTED) == (key in kept)
            assert (
                key not in kept or find_home_node(SERVICE, key, after) == "i0"
            )
