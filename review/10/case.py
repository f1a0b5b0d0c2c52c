"""A storm of large configurations outruns machines with slow links."""

import asyncio
import collections
import pathlib
import sys
import time

from stand_ins_2 import Fleet, Machine, run_case

MACHINES = 4
LINK_MBPS = 10.0  # As 57 of the 82 machines of the site.
# The configuration then has some 255,000 bytes; a record has 262,144 at most.
ROUTES = 1050
RECORD_BYTES = 262144
APPLY_S = 2.5  # `apply_s` of the site.
STORM_FOR_S = 5.0
STORM_GAP_S = 0.21
REQUEST_INTERVAL_S = 0.03
CALM_S = 5.0
RUN_S = 18.0  # From the start of the storm.
BITS = 8e-6  # Megabits in a byte.


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Plays the storm, whose last version moves a route."""
    record = fleet.record
    fleet.set_route("page", "browse")
    for number in range(ROUTES):
        fleet.set_route(f"r{number:05d}", "browse")
    for number in range(MACHINES):
        service = "browse" if number % 2 == 0 else "reader"
        await fleet.add(f"m{number}", f"z{number // 2}", service)
    machines = list(fleet.machines.values())
    for machine in machines:
        machine.link.bytes_per_s = LINK_MBPS / BITS
    await fleet.publish()
    await fleet.wait_until_ready()
    size = len(fleet.store.records["keyed.op"][-1])
    record.write(f"a configuration has {size} bytes")
    assert size <= RECORD_BYTES
    await asyncio.sleep(CALM_S)
    sent: dict[str, tuple[float, Machine]] = {}
    statuses: collections.Counter[str] = collections.Counter()

    async def send_one(machine: Machine) -> None:
        at = time.monotonic()
        request_id, answer = await machine.request("/page/1")
        sent[request_id] = (at, machine)
        status = str(answer.status) if answer is not None else "no answer"
        statuses[status] += 1

    async def publish_storm() -> float:
        """Returns when the last version was acknowledged."""
        count = round(STORM_FOR_S / STORM_GAP_S) if trouble else 1
        acknowledged = 0.0
        for number in range(count):
            last = number == count - 1
            fleet.set_route("r00000", "reader" if number % 2 else "browse")
            fleet.set_route("page", "reader" if last else "browse")
            await fleet.publish()
            acknowledged = time.monotonic()
            await asyncio.sleep(STORM_GAP_S)
        return acknowledged

    storm = asyncio.create_task(publish_storm())
    started = time.monotonic()
    tasks = []
    while time.monotonic() - started < RUN_S:
        machine = machines[len(tasks) % len(machines)]
        tasks.append(asyncio.create_task(send_one(machine)))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*tasks)
    acknowledged = await storm
    delays = collections.defaultdict(list)
    for machine in machines:
        if machine.server is not None and machine.service == "browse":
            for _, request_id in machine.server.runs:
                at, sender = sent[request_id]
                delays[sender.name].append(at - acknowledged)
    record.write(f"answers by status: {dict(statuses)}")
    late = 0
    for name, found in sorted(delays.items()):
        late += sum(delay > APPLY_S for delay in found)
        record.write(
            f"{name}: last request that the old service ran was sent"
            f" {max(found):.2f} s after the acknowledgement"
        )
    record.write(f"sent later than {APPLY_S} s after it: {late}")
    return not late


if __name__ == "__main__":
    sys.exit(run_case(case, pathlib.Path(__file__).parent))
