"""A zone whose machines the store turns away keeps an old configuration."""

import asyncio
import collections
import pathlib
import sys
import time

from stand_ins_2 import APPLY_S, Fleet, Machine, run_case

OUTER_S = 5.0  # `outer_s`
REFUSED_FOR_S = 9.0  # The largest dose in the site file.
REFUSED_ZONE = "z2"  # Two of six machines; the largest share there is 0.35.
PUBLISH_AT_S = 0.5
REQUEST_INTERVAL_S = 0.02
RUN_S = 12.0


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Plays the refusals and a change of a route."""
    record = fleet.record
    fleet.set_route("page", "browse")
    for number in range(6):
        service = "browse" if number % 2 == 0 else "reader"
        await fleet.add(f"m{number}", f"z{number // 2}", service)
    await fleet.publish()
    await fleet.wait_until_ready()
    machines = list(fleet.machines.values())
    refused = [m for m in machines if m.zone == REFUSED_ZONE]
    started = time.monotonic()
    record.write("begin")
    if trouble:
        fleet.store.refused = {machine.store_ip for machine in refused}
        names = ", ".join(machine.name for machine in refused)
        record.write(f"store: calls of {names} get 503 from now on")
    sent: dict[str, tuple[float, Machine]] = {}
    statuses: collections.Counter[str] = collections.Counter()

    async def send_one(machine: Machine) -> None:
        at = time.monotonic()
        request_id, answer = await machine.request("/page/1")
        sent[request_id] = (at, machine)
        status = str(answer.status) if answer is not None else "no answer"
        statuses[status] += 1

    tasks = []
    acknowledged = 0.0
    while (now_s := time.monotonic() - started) < RUN_S:
        if not acknowledged and now_s >= PUBLISH_AT_S:
            fleet.set_route("page", "reader")
            await fleet.publish()
            acknowledged = time.monotonic()
        if fleet.store.refused and now_s >= REFUSED_FOR_S:
            fleet.store.refused = set()
            record.write("store: serves all again")
        machine = machines[len(tasks) % len(machines)]
        tasks.append(asyncio.create_task(send_one(machine)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*tasks)
    old_runs = [
        sent[request_id]
        for machine in machines
        if machine.server is not None and machine.service == "browse"
        for _, request_id in machine.server.runs
    ]
    delays = collections.defaultdict(list)
    for at, machine in old_runs:
        delays[machine.name].append(at - acknowledged)
    record.write(f"answers by status: {dict(statuses)}")
    for name, found in sorted(delays.items()):
        record.write(
            f"{name}: last request that the old service ran was sent"
            f" {max(found):.2f} s after the acknowledgement"
        )
    late = sum(
        delay > APPLY_S + OUTER_S
        for found in delays.values()
        for delay in found
    )
    record.write(f"sent later than {APPLY_S + OUTER_S} s after it: {late}")
    return not late


if __name__ == "__main__":
    sys.exit(run_case(case, pathlib.Path(__file__).parent))
