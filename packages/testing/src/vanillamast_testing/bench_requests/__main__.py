"""Measures the request path of one node.

Run as `python -m vanillamast_testing.bench_requests`. Prints tables and writes
JSON lines.
"""

import asyncio
import gc
import pathlib
import random
from collections.abc import Sequence
from typing import Any

from absl import app, flags
from vanillamast_core.requests import balancing_policies

from vanillamast_testing.bench_requests.load_generator import LoadGenerator
from vanillamast_testing.bench_requests.processes import (
    run_backend_process,
    run_node_process,
)
from vanillamast_testing.bench_requests.report import (
    PERCENTILES,
    Report,
    percentile_ms,
)

OUT = flags.DEFINE_string("out", "out", "Directory for results.")
TURN_S = flags.DEFINE_float("turn_s", 1.0, "Seconds of one turn.")
TURNS = flags.DEFINE_integer("turns", 10, "Turns of each kind at a rate.")
RATES = flags.DEFINE_list("rates", ["100", "333", "600"], "Calls a second.")
PARTS = flags.DEFINE_list(
    "parts", ["added", "saturation", "overload", "policies"], "What to run."
)

CONNECTIONS = 16
# Stands for calls back to back on one connection. The node hardly waits for
# calls then, so that other load on the machine delays its wake-ups least.
SEQUENTIAL_RATE = 0.0
INSTANT_SERVERS = [(0.0, 9)] * 4
SERVICE_TIME_S = 0.1
SLOTS = 9
OVERLOAD_SERVERS = 3
OVERLOAD_S = 6.0
# Two fast servers, one at half and one at a quarter of their speed.
UNEQUAL_SERVICE_TIMES_S = (0.02, 0.02, 0.04, 0.08)
UNEQUAL_UTILIZATION = 0.6  # Of the capacity of all servers together.


def main(arguments: Sequence[str]) -> None:
    """Runs the chosen parts."""
    del arguments
    out = pathlib.Path(OUT.value)
    report = Report(out / "bench-requests.jsonl")
    log = str(out / "decisions.log")
    gc.disable()  # Pauses of the load generator would count as latency.
    for part in PARTS.value:
        _PARTS[part](report, log)
        gc.collect()


def measure_added_latency(report: Report, log: str) -> None:
    """Measures calls through a node and direct calls alternately."""
    with (
        run_backend_process(INSTANT_SERVERS) as (_, addresses),
        run_node_process(
            [(a, SLOTS) for a in addresses], "power_of_two", log
        ) as (process, address),
    ):
        rates = [*map(float, RATES.value), SEQUENTIAL_RATE]
        rows = [
            asyncio.run(
                _measure_added_latency_at(rate, address, addresses[0], process)
            )
            for rate in rates
        ]
        report.add_table("added by one hop, ms", rows)


async def _measure_added_latency_at(
    rate: float, node_address: str, direct_address: str, process: Any
) -> dict[str, Any]:
    rng = random.Random(1)
    through_node = LoadGenerator(node_address)
    direct = LoadGenerator(direct_address)
    await through_node.warm_up(CONNECTIONS)
    await direct.warm_up(CONNECTIONS)
    cpu_before_s = process.cpu_s()
    for _ in range(TURNS.value):
        for generator in (through_node, direct):
            if rate == SEQUENTIAL_RATE:
                await generator.run_closed_loop(1, TURN_S.value)
            else:
                await generator.run_open_loop(rate, TURN_S.value, rng)
    cpu_s = process.cpu_s() - cpu_before_s
    row: dict[str, Any] = {
        "calls_per_s": rate or "one at a time",
        "calls": len(through_node.latencies),
    }
    for percent in PERCENTILES:
        via_node_ms = percentile_ms(through_node.latencies, percent)
        direct_ms = percentile_ms(direct.latencies, percent)
        row[f"p{percent:g}_direct"] = direct_ms
        row[f"p{percent:g}_hop"] = via_node_ms
        row[f"p{percent:g}_added"] = via_node_ms - direct_ms
    row["node_cpu_ms_per_call"] = cpu_s * 1000.0 / len(through_node.latencies)
    return row


def measure_saturation(report: Report, log: str) -> None:
    """Measures the throughput of a node that uses a whole core."""
    with (
        run_backend_process(INSTANT_SERVERS) as (_, addresses),
        run_node_process([(a, 64) for a in addresses], "power_of_two", log) as (
            process,
            address,
        ),
    ):
        row = asyncio.run(_measure_saturated_node(address, process))
        report.add_table("saturation", [row])


async def _measure_saturated_node(address: str, process: Any) -> dict[str, Any]:
    generator = LoadGenerator(address)
    seconds = 5.0
    await generator.warm_up(CONNECTIONS)
    cpu_before_s = process.cpu_s()
    await generator.run_closed_loop(CONNECTIONS, seconds)
    cpu_s = process.cpu_s() - cpu_before_s
    calls = len(generator.latencies)
    return {
        "connections": CONNECTIONS,
        "calls_per_s": calls / seconds,
        "node_cores": cpu_s / seconds,
        "calls_per_core_s": calls / cpu_s,
        "p99_ms": percentile_ms(generator.latencies, 99.0),
    }


def measure_overload(report: Report, log: str) -> None:
    """Measures goodput at multiples of the servers' capacity."""
    capacity = OVERLOAD_SERVERS * SLOTS / SERVICE_TIME_S
    rows = []
    for factor in (1, 2, 3):
        with (
            run_backend_process(
                [(SERVICE_TIME_S, SLOTS)] * OVERLOAD_SERVERS
            ) as (backends, addresses),
            run_node_process(
                [(a, SLOTS) for a in addresses], "power_of_two", log
            ) as (process, address),
        ):
            generator = LoadGenerator(address)
            rate = factor * capacity
            asyncio.run(
                generator.run_open_loop(rate, OVERLOAD_S, random.Random(2))
            )
            first, retries, _ = process.stop()
            shed = sum(count for _, count in backends.stop())
            rows.append(_make_overload_row(generator, factor, rate, capacity))
            rows[-1]["retries_share"] = retries / max(1, first)
            rows[-1]["shed_by_servers"] = shed
    report.add_table("overload", rows)


def _make_overload_row(
    generator: LoadGenerator, factor: int, rate: float, capacity: float
) -> dict[str, Any]:
    served = generator.outcomes["200"]
    others = {k: n for k, n in sorted(generator.outcomes.items()) if k != "200"}
    return {
        "load": f"{factor}x",
        "offered_per_s": rate,
        "capacity_per_s": capacity,
        "goodput_per_s": served / OVERLOAD_S,
        "p99_ms": percentile_ms(generator.latencies, 99.0),
        "refusals": sum(others.values()),
        "by_kind": " ".join(f"{k}:{n}" for k, n in others.items()) or "none",
    }


def compare_policies(report: Report, log: str) -> None:
    """Compares balancing policies over backend servers of unequal speed."""
    capacity = sum(SLOTS / service_s for service_s in UNEQUAL_SERVICE_TIMES_S)
    rate = capacity * UNEQUAL_UTILIZATION
    seconds = 6.0
    rows = []
    for policy in balancing_policies:
        with (
            run_backend_process(
                [(s, SLOTS) for s in UNEQUAL_SERVICE_TIMES_S]
            ) as (backends, addresses),
            run_node_process([(a, SLOTS) for a in addresses], policy, log) as (
                _,
                address,
            ),
        ):
            generator = LoadGenerator(address)
            asyncio.run(
                generator.run_open_loop(rate, seconds, random.Random(3))
            )
            counts = [served for served, _ in backends.stop()]
            busy = [
                served * service_s / SLOTS / seconds
                for served, service_s in zip(
                    counts, UNEQUAL_SERVICE_TIMES_S, strict=True
                )
            ]
            rows.append(
                {
                    "policy": policy,
                    "offered_per_s": rate,
                    "served": " ".join(map(str, counts)),
                    "utilization": " ".join(f"{b:.2f}" for b in busy),
                    "spread": max(busy) - min(busy),
                    "p50_ms": percentile_ms(generator.latencies, 50.0),
                    "p99_ms": percentile_ms(generator.latencies, 99.0),
                    "refusals": sum(generator.outcomes.values())
                    - generator.outcomes["200"],
                }
            )
    report.add_table("policies over unequal servers", rows)


_PARTS = {
    "added": measure_added_latency,
    "saturation": measure_saturation,
    "overload": measure_overload,
    "policies": compare_policies,
}

if __name__ == "__main__":
    app.run(main)
