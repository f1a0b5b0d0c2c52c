"""A server that left is used again after a restart of its node.

The store is down while the server leaves, and the node ends before it is back.
"""

import asyncio
import pathlib
import signal
import sys
import time

from stand_ins_2 import DRAIN_S, STABLE_WINDOW_S, Fleet, run_case

OUTAGE_S = 4.0  # Sites have 4.5 s to 8 s.
# The last ping of the server before it leaves arrives this much later.
PING_DELAY_S = 3.0
REQUEST_INTERVAL_S = 0.05
RUN_S = 12.0  # From the start of the outage.


async def case(fleet: Fleet, trouble: bool) -> bool:
    """Plays the outage, the leaving server, the end of the node."""
    record = fleet.record
    fleet.set_route("page", "browse")
    await fleet.add("m0", "z0", "browse")
    machine = await fleet.add("m1", "z1", "browse")
    await fleet.publish()
    await fleet.wait_until_ready()
    server = machine.server
    assert server is not None
    sent: dict[str, float] = {}
    statuses: dict[object, int] = {}

    async def send_one() -> None:
        at = time.monotonic()
        request_id, answer = await machine.request("/page/1")
        sent[request_id] = at
        status = answer.status if answer is not None else None
        statuses[status] = statuses.get(status, 0) + 1

    started = time.monotonic()
    record.write("begin")
    if trouble:
        fleet.store.mode = "busy"
        record.write("store: all calls get 503 from now on")

    async def end_outage() -> None:
        await asyncio.sleep(OUTAGE_S)
        fleet.store.mode = "up"
        record.write("store: answers again")

    async def leave() -> float:
        await asyncio.sleep(0.3)
        late = server.make_ping()
        server.pinging = False
        record.write(f"{server.id}: ping {late['sequence']} sent, is delayed")
        await asyncio.sleep(0.2)
        assert await server.call("deregister", {"born": server.born})
        acknowledged = time.monotonic()
        record.write(f"{server.id}: deregistration acknowledged")
        if trouble:
            record.write("node m1: SIGKILL")
            machine.signal(signal.SIGKILL)
        await asyncio.sleep(PING_DELAY_S - 0.2)
        held = await server.call("heartbeat", late)
        record.write(f"{server.id}: the delayed ping arrives, 200: {held}")
        return acknowledged

    outage = asyncio.create_task(end_outage())
    leaving = asyncio.create_task(leave())
    tasks = []
    while time.monotonic() < started + RUN_S:
        tasks.append(asyncio.create_task(send_one()))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    await asyncio.gather(*tasks)
    await outage
    acknowledged = await leaving
    # The machine is in touch again: neither the store nor the node was
    # disturbed for this long.
    in_touch_at = started + OUTAGE_S + STABLE_WINDOW_S
    late_runs = [
        (at, request_id)
        for at, request_id in server.runs
        if sent.get(request_id, 0.0) > acknowledged + DRAIN_S
    ]
    counted = [
        request_id
        for _, request_id in late_runs
        if sent[request_id] > in_touch_at
    ]
    record.write(f"answers by status: {statuses}")
    for at, request_id in late_runs:
        record.write(
            f"{server.id} ran {request_id}, sent"
            f" {sent[request_id] - acknowledged:.2f} s after the"
            f" acknowledgement, at {at - started:.2f} s"
        )
    record.write(
        f"sent later than {DRAIN_S} s after the acknowledgement and run:"
        f" {len(late_runs)}; of these while the machine was in touch:"
        f" {len(counted)}"
    )
    return not counted


if __name__ == "__main__":
    sys.exit(run_case(case, pathlib.Path(__file__).parent))
