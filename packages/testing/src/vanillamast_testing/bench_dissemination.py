"""Benchmark of dissemination on the in-memory network.

Measures how long entries need to reach all nodes, with and without failures,
and the bytes, processor time and memory that the overlay uses. The same run
computes a baseline in which every node polls the log. Durations are of the
simulated clock; processor time and memory are real.

Usage: python -m vanillamast_testing.bench_dissemination --nodes=75,300
"""

import dataclasses
import gc
import random
import sys
import time
import tracemalloc
from collections.abc import Iterable, Iterator, Sequence
from typing import TextIO

import msgspec
from absl import flags
from vanillamast_core.peers import Mesh, PeerSettings, pack_announcement

from vanillamast_testing.memory_entry_store import MemoryEntryStore
from vanillamast_testing.peer_network import (
    FRAME_BYTES,
    LOG_READ_S,
    PeerNetwork,
)

NODE_COUNTS = (75, 300, 1200)
DOMAIN_COUNT = 8
REGION_COUNT = 2
SERVICE_COUNT = 83
SETTLE_S = 25.0  # All links are up and unneeded ones are closed by then.
ENTRY_BYTES = 200
DAY_S = 86_400
CHANGES_PER_DAY = 830
RECORDS_PER_CHANGE = 5  # The change and four steps of its move.
BEACONS_PER_S = DOMAIN_COUNT / 30  # One per failure domain every 30 s.
TARGET_RECORDS_PER_S = CHANGES_PER_DAY * RECORDS_PER_CHANGE / DAY_S
OVERLOAD_FACTOR = 10
COST_MEASUREMENT_S = 60.0
CONVERGENCE_ENTRIES = 60
ENTRY_INTERVAL_S = 0.5
PARTITION_S = 30.0
# Longer than the bound of 12 s, so that entries beyond it are measured too.
CONVERGENCE_WAIT_S = 15.0
POLL_PERIOD_S = 2.0
POLL_HEADER_BYTES = 500  # Headers of one HTTP request and its answer.

_FLAGS = flags.FlagValues()  # Separate from the flags of other modules.
_NODES = flags.DEFINE_list(
    "nodes",
    [str(count) for count in NODE_COUNTS],
    "Numbers of nodes.",
    flag_values=_FLAGS,
)
_SEED = flags.DEFINE_integer(
    "seed", 1, "Seed of the simulation.", flag_values=_FLAGS
)
_OUT = flags.DEFINE_string(
    "out", "", "File for the JSON lines.", flag_values=_FLAGS
)


class Figure(msgspec.Struct, frozen=True, kw_only=True):
    """One measured figure.

    Attributes:
      nodes: Number of nodes.
      seed: Seed of the run.
      system: "mesh" or "polling".
      phase: The failure or load during the measurement.
      metric: What was measured, with its unit.
      value: The measured value.
    """

    nodes: int
    seed: int
    system: str
    phase: str
    metric: str
    value: float


@dataclasses.dataclass(slots=True)
class DisseminationBenchmark:
    """One run with a given number of nodes.

    Attributes:
      nodes: Number of nodes.
      seed: Seed of the run.
      rng: Random source for appends, failures and the baseline.
      network: The nodes and the log.
      poll_phases_s: Offset of each node's polls within the poll period.
    """

    nodes: int
    seed: int
    rng: random.Random
    network: PeerNetwork
    poll_phases_s: dict[str, float]

    def measure(self) -> Iterator[Figure]:
        """Runs all phases and yields their figures."""
        yield from self.measure_cost("rest", BEACONS_PER_S)
        rate = BEACONS_PER_S + OVERLOAD_FACTOR * TARGET_RECORDS_PER_S
        yield from self.measure_cost("ten times the changes", rate)
        yield from self.measure_convergence(
            "no failure", set(self.network.nodes)
        )
        yield from self.measure_paused_readers()
        yield from self.measure_domain_partition()
        yield from self.measure_killed_tenth()
        yield from self.measure_memory()

    def measure_cost(self, phase: str, rate: float) -> Iterator[Figure]:
        """Measures bytes and processor time at a rate of appended records.

        Args:
          phase: Name of the phase.
          rate: Records per second.
        """
        nodes = self.network.nodes.values()
        for node in nodes:
            node.cpu_s, node.sent_bytes = 0.0, 0
        end = self.network.now + COST_MEASUREMENT_S
        count = 0
        while (gap := self.rng.expovariate(rate)) < end - self.network.now:
            self.network.run(gap)
            self.append_entry()
            count += 1
        self.network.run(end - self.network.now)
        per_node = len(nodes) * COST_MEASUREMENT_S
        sent = sum(node.sent_bytes for node in nodes) / per_node
        worst = max(node.sent_bytes for node in nodes) / COST_MEASUREMENT_S
        cpu = sum(node.cpu_s for node in nodes) / per_node
        yield self.make_figure(phase, "bytes sent /node/s", sent)
        yield self.make_figure(phase, "bytes sent /worst node/s", worst)
        yield self.make_figure(phase, "bytes sent+received /node/s", 2 * sent)
        yield self.make_figure(phase, "cpu us/node/s", cpu * 1e6)
        polling = (POLL_HEADER_BYTES + 2 * FRAME_BYTES) / POLL_PERIOD_S
        polling += count / COST_MEASUREMENT_S * ENTRY_BYTES
        metric = "bytes sent+received /node/s"
        yield self.make_figure(phase, metric, polling, "polling")
        polls = len(nodes) / POLL_PERIOD_S
        yield self.make_figure(phase, "log requests /s", polls, "polling")
        readers = sum(node.reads_log for node in nodes)
        yield self.make_figure(phase, "log readers", readers)

    def measure_paused_readers(self) -> Iterator[Figure]:
        """Measures convergence with one failure domain's readers paused."""
        network = self.network
        paused = [
            name
            for name, node in network.nodes.items()
            if node.reads_log and node.announcement.failure_domain == "d0"
        ]
        for name in paused:
            network.pause(name)
        running = set(network.nodes) - set(paused)
        yield from self.measure_convergence("2 readers frozen", running)
        for name in paused:
            network.resume(name)
        network.run(SETTLE_S)

    def measure_domain_partition(self) -> Iterator[Figure]:
        """Measures convergence while one failure domain is partitioned.

        It reaches neither the other failure domains nor the log.
        """
        network = self.network
        partitioned = {
            name
            for name, node in network.nodes.items()
            if node.announcement.failure_domain == "d1"
        }
        for name in partitioned:
            network.nodes[name].log_cut = True
        network.cut(dict.fromkeys(partitioned, 1), reset=False)
        cut_at = network.now
        others = set(network.nodes) - partitioned
        yield from self.measure_convergence("domain cut, outside", others)
        network.run(max(0.0, cut_at + PARTITION_S - network.now))
        network.heal()
        for name in partitioned:
            network.nodes[name].log_cut = False
        healed_at = network.now
        last = len(network.log)
        network.run(CONVERGENCE_WAIT_S)
        samples = [
            network.nodes[name].applied_at.get(last, float("inf")) - healed_at
            for name in partitioned
        ]
        yield from self.make_percentile_figures(
            "domain healed, inside", samples
        )
        polls = [
            self.rng.random() * POLL_PERIOD_S + LOG_READ_S for _ in partitioned
        ]
        yield from self.make_percentile_figures(
            "domain healed, inside", polls, "polling"
        )
        network.run(SETTLE_S)

    def measure_killed_tenth(self) -> Iterator[Figure]:
        """Measures convergence after a tenth of the machines failed at once."""
        names = sorted(self.network.nodes)
        for name in self.rng.sample(names, len(names) // 10):
            self.network.kill(name, machine=True)
        yield from self.measure_convergence(
            "10% killed", set(self.network.running_nodes())
        )

    def measure_convergence(
        self, phase: str, running: set[str]
    ) -> Iterator[Figure]:
        """Appends entries and measures when each running node applies them.

        Args:
          phase: Name of the phase.
          running: Names of the nodes that are measured.
        """
        network = self.network
        appended: dict[int, float] = {}
        for _ in range(CONVERGENCE_ENTRIES):
            appended[self.append_entry()] = network.now
            network.run(ENTRY_INTERVAL_S)
        network.run(CONVERGENCE_WAIT_S)
        samples = [
            network.nodes[name].applied_at.get(offset, float("inf")) - at
            for offset, at in appended.items()
            for name in running
        ]
        yield from self.make_percentile_figures(phase, samples)
        polled = [
            (self.poll_phases_s[name] - at) % POLL_PERIOD_S
            + LOG_READ_S * (0.5 + self.rng.random())
            for at in appended.values()
            for name in running
        ]
        yield from self.make_percentile_figures(phase, polled, "polling")

    def measure_memory(self) -> Iterator[Figure]:
        """Measures the memory of one node's membership and overlay."""
        any_node = next(iter(self.network.nodes.values()))
        packed = [
            pack_announcement(node.announcement)
            for node in self.network.nodes.values()
        ]
        gc.collect()
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        mesh = Mesh(
            self.network.settings,
            any_node.announcement,
            random.Random(self.seed),
            MemoryEntryStore(),
        )
        for item in packed:
            mesh.directory.merge_packed(bytes(bytearray(item)))
        mesh.tick(0.0)
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        size = (after - before) / 1024
        yield self.make_figure("rest", "directory and overlay KiB", size)

    def append_entry(self) -> int:
        """Appends a record and returns its offset."""
        data = self.rng.randbytes(ENTRY_BYTES)
        return self.network.append(data).offset

    def make_percentile_figures(
        self, phase: str, samples: Iterable[float], system: str = "mesh"
    ) -> Iterator[Figure]:
        """Yields percentiles in ms of convergence times given in seconds."""
        ordered = sorted(samples)
        count = len(ordered)
        median, high = ordered[count // 2], ordered[int(count * 0.99)]
        yield self.make_figure(phase, "median ms", median * 1e3, system)
        yield self.make_figure(phase, "99th ms", high * 1e3, system)
        yield self.make_figure(phase, "worst ms", ordered[-1] * 1e3, system)

    def make_figure(
        self, phase: str, metric: str, value: float, system: str = "mesh"
    ) -> Figure:
        """Returns one figure of this run."""
        return Figure(
            nodes=self.nodes,
            seed=self.seed,
            system=system,
            phase=phase,
            metric=metric,
            value=round(value, 3),
        )


def start_benchmark(
    nodes: int, seed: int, settings: PeerSettings | None = None
) -> DisseminationBenchmark:
    """Starts nodes that know each other and waits until they are linked."""
    network = PeerNetwork(seed, settings, measure=True)
    for index in range(nodes):
        domain = index % DOMAIN_COUNT
        network.add(
            f"n{index:05}",
            f"r{domain * REGION_COUNT // DOMAIN_COUNT}",
            f"d{domain}",
            f"s{index % SERVICE_COUNT}",
        )
    network.seeds = [f"n{index:05}:1" for index in range(DOMAIN_COUNT)]
    for name in network.nodes:
        network.start(name)
    packed = [
        pack_announcement(node.announcement) for node in network.nodes.values()
    ]
    for name in network.nodes:
        directory = network.mesh(name).directory
        for item in packed:
            directory.merge_packed(item)
    network.run(SETTLE_S)
    # A full collection visits the objects of all nodes, and its time would be
    # attributed to the node that runs at that moment.
    gc.collect()
    gc.freeze()
    rng = random.Random(seed)
    poll_phases_s = {
        name: rng.random() * POLL_PERIOD_S for name in network.nodes
    }
    return DisseminationBenchmark(nodes, seed, rng, network, poll_phases_s)


def run(
    out: TextIO,
    nodes: Sequence[int] = NODE_COUNTS,
    seed: int = 1,
    settings: PeerSettings | None = None,
) -> list[Figure]:
    """Runs the benchmark and writes one JSON line for each figure.

    Args:
      out: Receives the JSON lines.
      nodes: Numbers of nodes, one run each.
      seed: Seed of the simulations.
      settings: Settings of the nodes' meshes, the defaults if None.

    Returns:
      All figures.
    """
    figures = []
    for count in nodes:
        benchmark = start_benchmark(count, seed, settings)
        for figure in benchmark.measure():
            figures.append(figure)
            out.write(msgspec.json.encode(figure).decode() + "\n")
            out.flush()
    return figures


def format_table(figures: Iterable[Figure]) -> str:
    """Returns the figures as a table, a column for each number of nodes."""
    values: dict[tuple[str, str, str], dict[int, float]] = {}
    counts: set[int] = set()
    for figure in figures:
        key = figure.phase, figure.metric, figure.system
        values.setdefault(key, {})[figure.nodes] = figure.value
        counts.add(figure.nodes)
    columns = sorted(counts)
    head = f"{'phase':24}{'metric':30}{'system':9}"
    lines = [head + "".join(f"{count:>12}" for count in columns)]
    for (phase, metric, system), row in values.items():
        cells = "".join(
            f"{row.get(count, float('nan')):12.1f}" for count in columns
        )
        lines.append(f"{phase:24}{metric:30}{system:9}{cells}")
    return "\n".join(lines) + "\n"


def main(argv: list[str]) -> None:
    """Runs the benchmark from the command line."""
    _FLAGS(argv)
    nodes = [int(count) for count in _NODES.value]
    started = time.perf_counter()
    if _OUT.value:
        with open(_OUT.value, "w", encoding="utf-8") as out:
            figures = run(out, nodes, _SEED.value)
    else:
        figures = run(sys.stdout, nodes, _SEED.value)
    sys.stdout.write(format_table(figures))
    wall = time.perf_counter() - started
    sys.stdout.write(f"framing: {FRAME_BYTES} B per frame; run {wall:.0f} s\n")


if __name__ == "__main__":
    try:
        main(sys.argv)
    except flags.Error as error:
        sys.exit(f"bench_dissemination: {error}")
