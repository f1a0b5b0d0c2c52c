"""`python -m vanillamast_testing.bench_requests`."""

import asyncio
import gc
import pathlib
import random
from collections.abc import Sequence
from typing import Any

from absl import app, flags
from vanillamast_core.requests import balancing_policies

from vanillamast_testing.bench_requests.load import Load
from vanillamast_testing.bench_requests.processes import backends, node
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
# Back to back on one connection: the node never sleeps, so that other work on
# the machine delays its wake-ups least.
ONE_AT_A_TIME = 0.0
INSTANT = [(0.0, 9)] * 4
SERVICE_S = 0.1
SLOTS = 9
OVERLOAD_SERVERS = 3
OVERLOAD_S = 6.0
# Two fast servers, one at half and one at a quarter of their speed.
UNEQUAL_S = (0.02, 0.02, 0.04, 0.08)
UNEQUAL_LOAD = 0.6  # Of the capacity of all servers together.


def main(arguments: Sequence[str]) -> None:
    """Runs the chosen parts."""
    del arguments
    out = pathlib.Path(OUT.value)
    report = Report(out / "bench-requests.jsonl")
    log = str(out / "decisions.log")
    gc.disable()  # The generator's own pauses would count as latency.
    for part in PARTS.value:
        _PARTS[part](report, log)
        gc.collect()


def added(report: Report, log: str) -> None:
    """Measures calls through a node and direct calls in turns."""
    with (
        backends(INSTANT) as (_, addresses),
        node([(a, SLOTS) for a in addresses], "power_of_two", log) as (
            worker,
            address,
        ),
    ):
        rates = [*map(float, RATES.value), ONE_AT_A_TIME]
        rows = [
            asyncio.run(_added_at(rate, address, addresses[0], worker))
            for rate in rates
        ]
        report.table("added by one hop, ms", rows)


async def _added_at(
    rate: float, hop_address: str, direct_address: str, worker: Any
) -> dict[str, Any]:
    rng = random.Random(1)
    hop, direct = Load(hop_address), Load(direct_address)
    await hop.warm_up(CONNECTIONS)
    await direct.warm_up(CONNECTIONS)
    used = worker.cpu_s()
    for _ in range(TURNS.value):
        for load in (hop, direct):
            if rate == ONE_AT_A_TIME:
                await load.closed_loop(1, TURN_S.value)
            else:
                await load.open_loop(rate, TURN_S.value, rng)
    used = worker.cpu_s() - used
    row: dict[str, Any] = {
        "calls_per_s": rate or "one at a time",
        "calls": len(hop.latencies),
    }
    for percent in PERCENTILES:
        through = percentile_ms(hop.latencies, percent)
        without = percentile_ms(direct.latencies, percent)
        row[f"p{percent:g}_direct"] = without
        row[f"p{percent:g}_hop"] = through
        row[f"p{percent:g}_added"] = through - without
    row["node_cpu_ms_per_call"] = used * 1000.0 / len(hop.latencies)
    return row


def saturation(report: Report, log: str) -> None:
    """Measures the calls a second of a node that uses a whole core."""
    with (
        backends(INSTANT) as (_, addresses),
        node([(a, 64) for a in addresses], "power_of_two", log) as (
            worker,
            address,
        ),
    ):
        row = asyncio.run(_saturate(address, worker))
        report.table("saturation", [row])


async def _saturate(address: str, worker: Any) -> dict[str, Any]:
    load = Load(address)
    seconds = 5.0
    await load.warm_up(CONNECTIONS)
    used = worker.cpu_s()
    await load.closed_loop(CONNECTIONS, seconds)
    used = worker.cpu_s() - used
    calls = len(load.latencies)
    return {
        "connections": CONNECTIONS,
        "calls_per_s": calls / seconds,
        "node_cores": used / seconds,
        "calls_per_core_s": calls / used,
        "p99_ms": percentile_ms(load.latencies, 99.0),
    }


def overload(report: Report, log: str) -> None:
    """Measures goodput at multiples of the capacity."""
    capacity = OVERLOAD_SERVERS * SLOTS / SERVICE_S
    rows = []
    for factor in (1, 2, 3):
        with (
            backends([(SERVICE_S, SLOTS)] * OVERLOAD_SERVERS) as (
                servers,
                addresses,
            ),
            node([(a, SLOTS) for a in addresses], "power_of_two", log) as (
                worker,
                address,
            ),
        ):
            load = Load(address)
            rate = factor * capacity
            asyncio.run(load.open_loop(rate, OVERLOAD_S, random.Random(2)))
            first, retries, _ = worker.stop()
            shed = sum(count for _, count in servers.stop())
            rows.append(_overload_row(load, factor, rate, capacity))
            rows[-1]["retries_share"] = retries / max(1, first)
            rows[-1]["shed_by_servers"] = shed
    report.table("overload", rows)


def _overload_row(
    load: Load, factor: int, rate: float, capacity: float
) -> dict[str, Any]:
    good = load.outcomes["200"]
    others = {k: n for k, n in sorted(load.outcomes.items()) if k != "200"}
    return {
        "load": f"{factor}x",
        "offered_per_s": rate,
        "capacity_per_s": capacity,
        "goodput_per_s": good / OVERLOAD_S,
        "p99_ms": percentile_ms(load.latencies, 99.0),
        "refusals": sum(others.values()),
        "by_kind": " ".join(f"{k}:{n}" for k, n in others.items()) or "none",
    }


def policies(report: Report, log: str) -> None:
    """Compares the policies over backend servers of unequal speed."""
    capacity = sum(SLOTS / service_s for service_s in UNEQUAL_S)
    rate = capacity * UNEQUAL_LOAD
    seconds = 6.0
    rows = []
    for policy in balancing_policies:
        with (
            backends([(s, SLOTS) for s in UNEQUAL_S]) as (servers, addresses),
            node([(a, SLOTS) for a in addresses], policy, log) as (_, address),
        ):
            load = Load(address)
            asyncio.run(load.open_loop(rate, seconds, random.Random(3)))
            counts = [served for served, _ in servers.stop()]
            busy = [
                served * service_s / SLOTS / seconds
                for served, service_s in zip(counts, UNEQUAL_S, strict=True)
            ]
            rows.append(
                {
                    "policy": policy,
                    "offered_per_s": rate,
                    "served": " ".join(map(str, counts)),
                    "utilization": " ".join(f"{b:.2f}" for b in busy),
                    "spread": max(busy) - min(busy),
                    "p50_ms": percentile_ms(load.latencies, 50.0),
                    "p99_ms": percentile_ms(load.latencies, 99.0),
                    "refusals": sum(load.outcomes.values())
                    - load.outcomes["200"],
                }
            )
    report.table("policies over unequal servers", rows)


_PARTS = {
    "added": added,
    "saturation": saturation,
    "overload": overload,
    "policies": policies,
}

if __name__ == "__main__":
    app.run(main)
