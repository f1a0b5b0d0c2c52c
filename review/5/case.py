"""After one unreadable heartbeat, a planned stop cuts off requests."""

import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE_S = 6.0
KEPT_CONNECTIONS = 8
MEASURED_S = GRACE_S + 1.0  # LOST: "until 1 s after `grace_s`".


async def run(fleet: standins.Fleet, record: standins.Record) -> int:
    """Plays a foreign heartbeat and a planned stop; checks LOST."""
    await fleet.start_store()
    for zone in fleet.site.zones:
        for service in ("publish", "reader"):
            machine = await fleet.add_machine(zone, service)
            server = standins.Server(fleet, machine)
            server.work_s = 0.3
            await server.start()
    await fleet.publish(
        {
            "post": {"service": "publish", "kind": "non_idempotent"},
            "read": {"service": "reader", "kind": "idempotent"},
        }
    )
    await fleet.wait_until_ready()
    entry = fleet.servers[0].machine
    stop = asyncio.Event()
    answers: list[tuple[float, standins.Answer]] = []

    async def post_chapters(target: str) -> None:
        client = standins.Requester(entry, fleet.ports["outbound"])
        method = "POST" if target.startswith("/post") else "GET"
        while not stop.is_set():
            at = time.monotonic()
            answer = await client.send(method, target, b"", 2000)
            answers.append((at, answer))
            if answer.status <= 0:
                await asyncio.sleep(0.2)
        client.close()

    clients = [
        asyncio.ensure_future(post_chapters(target))
        for target in ("/post/1", "/read/1")
        for _ in range(KEPT_CONNECTIONS // 2)
    ]
    await asyncio.sleep(2.0)
    if TROUBLE:
        foreign = fleet.servers[0].make_heartbeat()
        foreign["born"] = 10**26  # No time in Unix milliseconds.
        accepted = await fleet.servers[0].call("heartbeat", foreign)
        record.write(f"a ping with born {foreign['born']}, 2xx: {accepted}")
    await asyncio.sleep(5.0)  # All machines are in touch.
    entry.held_down = True
    stopped_at = time.monotonic()
    fleet.signal_node(entry, signal.SIGTERM)
    refusals = 0
    while time.monotonic() < stopped_at + MEASURED_S:
        # The platform's questions; after two misses, no new work is sent.
        await asyncio.sleep(1.0)
        refusals += not await fleet.is_ready(entry)
        if refusals >= 2:
            stop.set()
        if entry.ends and stop.is_set():
            break
    stop.set()
    await asyncio.gather(*clients)
    runs = {run.request_id for s in fleet.servers for run in s.runs}
    lost = [
        (at, answer)
        for at, answer in answers
        if answer.status == 0 and answer.request_id in runs
    ]
    for at, answer in lost:
        record.write(
            f"{answer.request_id}: sent {at - stopped_at:+.3f} s from SIGTERM,"
            " passed on to a server, connection ended without an answer"
        )
    good = sum(answer.status == 200 for _, answer in answers)
    record.write(
        f"{len(answers)} requests, {good} answered with 200; {len(lost)} passed"
        " on and cut off around the planned stop"
    )
    if entry.ends:
        took_s = entry.ends[0][0] - stopped_at
        record.write(f"{entry.name}: ended {took_s:.2f} s after SIGTERM")
    if good < KEPT_CONNECTIONS:
        record.write("the case could not run: too few requests were served")
        return 2
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(HERE, run))
