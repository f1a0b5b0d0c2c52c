"""Benchmark of the resources that nodes use in a mesh of the target size.

Run as `python -m vanillamast_testing.bench_capacity --fill=1176`. A few dozen
node processes are measured. The other instances are node cores without a
request path, hosted in one process (`core_host`), so that each node process
holds the membership of the target size, links to others over sockets and
applies the same log. Writes JSON lines and prints a table.
"""

import asyncio
import dataclasses
import pathlib
import statistics
import sys
import tempfile
import uuid

import msgspec
import psutil
from absl import flags
from vanillamast_core.configuration import Configuration, diff
from vanillamast_core.journal import Publish, record_codec

from vanillamast_testing.command_flags import parse_flags
from vanillamast_testing.fleet import Fleet, choose_seeds
from vanillamast_testing.fleet_settings import FleetSettings
from vanillamast_testing.instance_spec import InstanceSpec
from vanillamast_testing.managed_process import ManagedProcess
from vanillamast_testing.target_mesh import (
    INSTANCES,
    target_configuration,
    target_instances,
)

NETWORK = "127.41"
PLATFORM_NETWORK = "127.40.1"
JOIN_TIMEOUT_S = 180.0
# Redials and repairs take up to 30 s after 400 instances start at once.
SETTLE_S = 45.0
# Ten times the target rate of 830 changes a day.
CHANGE_PERIOD_S = 86_400 / 8_300
MB = 1_000_000
FLAGS = flags.FlagValues()
flags.DEFINE_integer("nodes", 24, "Node processes.", 1, 100, flag_values=FLAGS)
flags.DEFINE_multi_integer(
    "fill", [0, 76, 376], "Hosted node cores.", flag_values=FLAGS
)
flags.DEFINE_float("seconds", 30.0, "Length of a phase.", 1, flag_values=FLAGS)
flags.DEFINE_string(
    "out", "out/capacity.jsonl", "File for the JSON lines.", flag_values=FLAGS
)


@dataclasses.dataclass(slots=True, frozen=True)
class NodeCost:
    """Resources that one node process used during a phase.

    Attributes:
      processor_share: Share of a core.
      resident_bytes: Resident memory at the end of the phase.
      control_bytes_per_s: Control traffic sent and received, with all headers.
      payload_bytes_per_s: Encoded messages sent and received, by kind.
    """

    processor_share: float
    resident_bytes: int
    control_bytes_per_s: float
    payload_bytes_per_s: dict[str, float]


@dataclasses.dataclass(slots=True, frozen=True)
class PhaseCost:
    """Resources that all node processes used during a phase.

    Attributes:
      phase: "rest" or "changes".
      instances: Instances in the mesh.
      services: Services in the configuration.
      convergence_s: Longest time until all node processes applied a change,
        0 at rest.
      processor_mean: Mean share of a core.
      processor_worst: Largest share of a core.
      resident_mean: Mean resident memory in bytes.
      resident_worst: Largest resident memory in bytes.
      bytes_mean: Mean control bytes per second.
      bytes_worst: Largest control bytes per second.
      payload: Mean bytes per second of encoded messages, by kind.
    """

    phase: str
    instances: int
    services: int
    convergence_s: float
    processor_mean: float
    processor_worst: float
    resident_mean: float
    resident_worst: float
    bytes_mean: float
    bytes_worst: float
    payload: dict[str, float]


class CapacityBenchmark:
    """Measures a mesh of one size.

    Attributes:
      fleet: The node processes and the platform's log.
      fill: Number of hosted node cores.
    """

    def __init__(self, fleet: Fleet, fill: int):
        self.fleet = fleet
        self.fill = fill

    async def run(self, seconds: float) -> list[PhaseCost]:
        """Starts the mesh and measures both phases."""
        specs = target_instances(NETWORK)[: FLAGS.nodes]
        await self.fleet.platform.start()
        await asyncio.sleep(1.0)
        self.fleet.add(specs, choose_seeds(specs))
        names = [spec.name for spec in specs]
        await self.fleet.start(names)
        await self.fleet.wait_for(names, lambda s: s["offset"] > 0, 30.0)
        version = await self.publish(specs[0], target_configuration())
        host = self.make_core_host(specs)
        if self.fill:
            await host.start()
        try:
            wanted = len(specs) + self.fill
            await self.fleet.wait_for(
                names,
                lambda s: (
                    s["instances"] >= wanted
                    and s["applied_version"] >= version
                    and not s["dead"]
                ),
                JOIN_TIMEOUT_S,
            )
            await asyncio.sleep(SETTLE_S)
            rest = await self.measure_phase("rest", names, seconds)
            changes = await self.measure_phase("changes", names, seconds)
        finally:
            await host.kill()
        return [rest, changes]

    def make_core_host(self, specs: list[InstanceSpec]) -> ManagedProcess:
        """Returns the process that hosts the node cores; it is not started."""
        return ManagedProcess(
            "core host",
            [
                sys.executable,
                "-m",
                "vanillamast_testing.core_host",
                f"--first={FLAGS.nodes}",
                f"--count={max(1, self.fill)}",
                f"--network={NETWORK}",
                f"--log_url=http://{self.fleet.platform_address}",
                *(f"--seed={seed}" for seed in choose_seeds(specs)),
            ],
            self.fleet.settings.directory / "host.out",
        )

    async def measure_phase(
        self, name: str, names: list[str], seconds: float
    ) -> PhaseCost:
        """Measures all node processes during a phase."""
        before = await self.read_usage(names)
        convergence_s = 0.0
        if name == "changes":
            convergence_s = await self.publish_changes(names, seconds)
        else:
            await asyncio.sleep(seconds)
        after = await self.read_usage(names)
        costs = [compute_cost(before[n], after[n]) for n in names]
        return summarize(name, len(names) + self.fill, convergence_s, costs)

    async def publish_changes(self, names: list[str], seconds: float) -> float:
        """Publishes changes at ten times the target rate.

        Returns:
          The longest time from the acceptance of a change until all node
          processes applied it.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        longest = 0.0
        number = 1
        while loop.time() < end:
            started = loop.time()
            number += 1
            spec = self.fleet.instances[names[0]].spec
            version = await self.publish(spec, change_one_route(number))
            longest = max(
                longest,
                await self.fleet.wait_for(
                    names,
                    lambda s, v=version: s["applied_version"] >= v,
                    JOIN_TIMEOUT_S,
                ),
            )
            pause = CHANGE_PERIOD_S - (loop.time() - started)
            await asyncio.sleep(max(0.0, min(pause, end - loop.time())))
        return longest

    async def publish(self, spec: InstanceSpec, wanted: Configuration) -> int:
        """Publishes a configuration through a node.

        Returns:
          The configuration version.
        """
        answer = await self.fleet.client.get(
            spec.operators, "/v1/configuration"
        )
        assert answer is not None
        current = msgspec.convert(answer["configuration"], Configuration)
        record = Publish(
            id=str(uuid.uuid4()),
            based_on=answer["offset"],
            changes=tuple(diff(current, wanted)),
        )
        async with self.fleet.client.session.post(
            f"http://{spec.operators}/v1/records",
            data=record_codec.encode(record),
        ) as response:
            outcome = await response.json()
        if outcome["reason"] != "accepted":
            raise RuntimeError(f"the configuration was refused: {outcome}")
        return outcome["offset"]

    async def read_usage(self, names: list[str]) -> dict[str, "Usage"]:
        """Reads the resources that each node process has used so far."""
        loop = asyncio.get_running_loop()
        result = {}
        for name in names:
            instance = self.fleet.instances[name]
            assert instance.node.process is not None
            process = psutil.Process(instance.node.process.pid)
            times = process.cpu_times()
            metrics = await self.fleet.client.get(
                instance.spec.operators, "/v1/metrics"
            )
            assert metrics is not None
            result[name] = Usage(
                loop.time(),
                times.user + times.system,
                process.memory_info().rss,
                metrics["peer_bytes"] + metrics["platform_bytes"],
                metrics["peer_payload_bytes"],
            )
        return result


@dataclasses.dataclass(slots=True, frozen=True)
class Usage:
    """Resources that a node process had used at a point in time.

    Attributes:
      time: Monotonic time in seconds.
      processor_s: Processor time since the process started.
      resident_bytes: Resident memory.
      control_bytes: Control bytes since the process started.
      payload_bytes: Encoded messages since the process started, by kind.
    """

    time: float
    processor_s: float
    resident_bytes: int
    control_bytes: float
    payload_bytes: dict[str, float]


def change_one_route(number: int) -> Configuration:
    """Returns the target configuration with one route changed."""
    configuration = target_configuration()
    name = sorted(configuration.routes)[number % len(configuration.routes)]
    route = msgspec.structs.replace(
        configuration.routes[name], timeout_ms=2000 + number
    )
    return msgspec.structs.replace(
        configuration, routes={**configuration.routes, name: route}
    )


def compute_cost(before: Usage, after: Usage) -> NodeCost:
    """Returns the resources that a node process used between two readings."""
    seconds = after.time - before.time
    return NodeCost(
        (after.processor_s - before.processor_s) / seconds,
        after.resident_bytes,
        (after.control_bytes - before.control_bytes) / seconds,
        {
            kind: (count - before.payload_bytes.get(kind, 0)) / seconds
            for kind, count in after.payload_bytes.items()
        },
    )


def summarize(
    phase: str, instances: int, convergence_s: float, costs: list[NodeCost]
) -> PhaseCost:
    """Returns the means and the largest values of all node processes."""
    processor = [c.processor_share for c in costs]
    resident = [c.resident_bytes for c in costs]
    control = [c.control_bytes_per_s for c in costs]
    return PhaseCost(
        phase,
        instances,
        len(target_configuration().services),
        round(convergence_s, 3),
        round(statistics.fmean(processor), 5),
        round(max(processor), 5),
        round(statistics.fmean(resident)),
        max(resident),
        round(statistics.fmean(control), 1),
        round(max(control), 1),
        compute_mean_payload(costs),
    )


def compute_mean_payload(costs: list[NodeCost]) -> dict[str, float]:
    """Returns the mean payload of all node processes by kind of message."""
    kinds = {kind for c in costs for kind in c.payload_bytes_per_s}
    return {
        kind: round(
            statistics.fmean(
                c.payload_bytes_per_s.get(kind, 0.0) for c in costs
            ),
            1,
        )
        for kind in sorted(kinds)
    }


async def main() -> list[PhaseCost]:
    """Measures all sizes of the mesh, one after the other."""
    costs: list[PhaseCost] = []
    for fill in FLAGS.fill:
        if FLAGS.nodes + fill > INSTANCES:
            raise ValueError(f"at most {INSTANCES} instances")
        with tempfile.TemporaryDirectory(prefix="vanillamast-") as directory:
            settings = FleetSettings(pathlib.Path(directory), PLATFORM_NETWORK)
            async with Fleet(settings) as fleet:
                costs += await CapacityBenchmark(fleet, fill).run(FLAGS.seconds)
        print(format_table(costs[-2:]), flush=True)
    return costs


def format_table(costs: list[PhaseCost]) -> str:
    """Returns the table that is printed, two lines for each phase."""
    return "\n".join(
        f"{c.instances:5} instances  {c.phase:8}"
        f"  core {c.processor_mean:.2%} (worst {c.processor_worst:.2%})"
        f"  memory {c.resident_mean / MB:.1f} MB"
        f" (worst {c.resident_worst / MB:.1f})"
        f"  control {c.bytes_mean:.0f} B/s (worst {c.bytes_worst:.0f})"
        f"  convergence {c.convergence_s:.2f} s\n"
        f"      payload by kind in B/s: {c.payload}"
        for c in costs
    )


def run() -> None:
    """Entry point of the command."""
    parse_flags(FLAGS, sys.argv, __doc__ or "")
    costs = asyncio.run(main())
    path = pathlib.Path(FLAGS.out)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(
        b"".join(msgspec.json.encode(cost) + b"\n" for cost in costs)
    )


if __name__ == "__main__":
    run()
