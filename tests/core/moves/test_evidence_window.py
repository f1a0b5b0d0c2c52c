"""Tests of the evidence that one node collects."""

import collections
import random

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from vanillamast_core.moves import (
    OTHERS,
    EvidenceSettings,
    EvidenceWindow,
    Observation,
    Side,
    merge_cells,
)
from vanillamast_core.moves.cell_merge import cell_key

SETTINGS = EvidenceSettings()

observations = st.builds(
    Observation,
    move=st.integers(1, 3),
    route=st.sampled_from(["a", "b", "c"]),
    side=st.sampled_from(Side),
    instance=st.integers(0, 13).map("i{}".format),
    server_domain=st.sampled_from(["x", "y"]),
    connected=st.booleans(),
    failed=st.booleans(),
    latency_s=st.floats(0.0, 300.0),
    cold=st.booleans(),
)


def observe(window, wall=1.0, count=1, **changes):
    """Records equal observations."""
    fields = {
        "move": 1,
        "route": "a",
        "side": Side.NEW,
        "instance": "i",
        "server_domain": "x",
        "latency_s": 0.01,
    }
    for _ in range(count):
        window.record(Observation(**(fields | changes)), wall)


def totals(cells):
    """Returns sums that no merge may change, by move, route and side."""
    sums = collections.Counter()
    for cell in cells:
        key = (cell.move, cell.route, cell.bucket, cell.side)
        sums[*key, "requests"] += cell.requests
        sums[*key, "failures"] += cell.failures
        sums[*key, "connect_failures"] += cell.connect_failures
        sums[*key, "warm"] += sum(cell.latency.values())
    return sums


class TestEvidenceWindow:
    """A window counts outcomes and keeps its limits."""

    def test_kinds(self):
        """Guards against mixing kinds of outcomes, and cold latencies."""
        window = EvidenceWindow(SETTINGS, "x")
        observe(window, count=3)
        observe(window, count=2, failed=True)
        observe(window, connected=False, failed=True)
        observe(window, count=4, cold=True)
        observe(window, cold=True, failed=True)
        (cell,) = window.drain(2.0)
        assert cell.requests == 11
        assert cell.failures == 3
        assert cell.connect_failures == 1
        assert sum(cell.latency.values()) == 3

    def test_closed_buckets(self):
        """Guards against sending a bucket in two parts."""
        window = EvidenceWindow(SETTINGS, "x")
        observe(window, wall=1.9)
        assert window.drain(1.95) == ()
        observe(window, wall=2.1)
        assert [cell.bucket for cell in window.drain(2.2)] == [0]
        assert [cell.bucket for cell in window.drain(4.0)] == [1]
        assert window.drain(6.0) == ()

    @given(st.lists(observations, max_size=60), st.randoms())
    def test_fuzz_merge(self, batch, rng):
        """Guards against lost counts and unbounded cells, in any order."""
        window = EvidenceWindow(
            msgspec.structs.replace(SETTINGS, max_drain_bytes=10**6), "x"
        )
        for observation in batch:
            window.record(observation, 1.0)
        raw = list(map(msgspec.structs.replace, window.cells.values()))
        cells = window.drain(2.0)
        assert totals(cells) == totals(raw)
        cut = rng.randrange(len(raw) + 1)
        merged = merge_cells(raw[:cut], raw[cut:])
        assert sorted(merged, key=cell_key) == sorted(cells, key=cell_key)
        names = collections.defaultdict(set)
        for cell in merged:
            assert len(cell.latency) <= SETTINGS.max_bins
            if cell.side is Side.NEW:
                names[cell.move].add(cell.instance)
        for instances in names.values():
            assert len(instances - {OTHERS}) <= SETTINGS.max_instances

    def test_bytes(self):
        """Guards against a drain over its size limit, and a starved route."""
        window = EvidenceWindow(SETTINGS, "x")
        rng = random.Random(1)
        sent = collections.Counter()
        for bucket in range(40):
            for route in range(12):
                for _ in range(1 + 40 // (route + 1)):
                    observe(
                        window,
                        wall=2.0 * bucket,
                        route=f"route-{route}",
                        side=rng.choice(list(Side)),
                        instance=f"instance-{rng.randrange(14)}",
                        latency_s=rng.lognormvariate(-4.0, 1.0),
                    )
            cells = window.drain(2.0 * bucket + 2.0)
            encoded = msgspec.msgpack.encode(cells)
            assert len(encoded) <= SETTINGS.max_drain_bytes + 3
            assert cells
            sent.update({cell.route for cell in cells})
        assert len(sent) == 12
        assert window.selection.dropped_requests > 0

    def test_full(self):
        """Guards against memory that grows when nobody drains."""
        settings = msgspec.structs.replace(SETTINGS, max_cells=10)
        window = EvidenceWindow(settings, "x")
        for index in range(50):
            observe(window, route=f"r{index}")
        assert len(window.cells) == 10
        assert window.dropped_observations == 40
