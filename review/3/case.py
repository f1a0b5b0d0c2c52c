"""A server that has left is used again after all nodes were killed."""

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
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
KILL_AFTER_ACK_S = 0.3
LATE_HEARTBEAT_S = 4.0  # "A ping may arrive seconds late."
SERVES_S = 9.0  # "A little longer (at times many seconds)."
CLIENTS_PER_MACHINE = 2


async def run(fleet: standins.Fleet, record: standins.Record) -> int:
    """Plays a server's leaving and the kill of all nodes; checks DRAIN."""
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
    await asyncio.sleep(4.0)  # All machines are in touch.
    stop = asyncio.Event()
    sent: dict[str, tuple[float, standins.Machine, int]] = {}

    async def post_chapters(machine: standins.Machine) -> None:
        client = standins.Requester(machine, fleet.ports["outbound"])
        while not stop.is_set():
            at = time.monotonic()
            answer = await client.send("POST", "/post/1", b"x", 2000)
            sent[answer.request_id] = (at, machine, answer.status)
            await asyncio.sleep(0.05 if answer.status == 200 else 0.3)
        client.close()

    machines = list(fleet.machines.values())
    clients = [
        asyncio.ensure_future(post_chapters(machine))
        for machine in machines
        for _ in range(CLIENTS_PER_MACHINE)
    ]
    await asyncio.sleep(2.0)
    leaving = fleet.servers[0]
    late = leaving.make_heartbeat()  # Sent now, it arrives seconds later.
    late_sent_at = time.monotonic()
    if not await leaving.deregister():
        record.write("the case could not run: no acknowledgement")
        return 2
    acknowledged_at = time.monotonic()
    record.write(f"server {leaving.id}: its leaving was acknowledged")
    await asyncio.sleep(KILL_AFTER_ACK_S)
    if TROUBLE:
        for machine in machines:
            fleet.signal_node(machine, signal.SIGKILL)
    await asyncio.sleep(late_sent_at + LATE_HEARTBEAT_S - time.monotonic())
    accepted = await leaving.call("heartbeat", late)
    record.write(f"server {leaving.id}: a late ping arrives, 2xx: {accepted}")
    await asyncio.sleep(acknowledged_at + SERVES_S - time.monotonic())
    leaving.stop()
    record.write(f"server {leaving.id}: exits")
    await asyncio.sleep(1.0)
    stop.set()
    await asyncio.gather(*clients)
    return check(fleet, record, leaving, acknowledged_at, sent)


def check(
    fleet: standins.Fleet,
    record: standins.Record,
    leaving: standins.Server,
    acknowledged_at: float,
    sent: dict[str, tuple[float, standins.Machine, int]],
) -> int:
    """Returns 1 if requests reached the server after it had left."""
    node = leaving.machine
    broken = 0
    lost = 0
    for run_ in leaving.runs:
        at, machine, status = sent.get(run_.request_id, (0.0, node, 0))
        in_touch = is_in_touch(machine, at) and is_in_touch(node, run_.at)
        if at > acknowledged_at + DRAIN_S and in_touch:
            broken += 1
            lost += status != 200
            if broken <= 20:
                record.write(
                    f"{run_.request_id}: sent to {machine.name}"
                    f" {at - acknowledged_at:.3f} s after the acknowledgement,"
                    f" reached server {leaving.id}, status {status}"
                )
    served = sum(status == 200 for _, _, status in sent.values())
    record.write(
        f"{len(sent)} requests, {served} answered with 200; {broken} reached"
        f" the server later than drain_s {DRAIN_S} after the acknowledgement"
        f" through machines in touch, {lost} of them without a good answer"
    )
    if served < 100:
        record.write("the case could not run: too few requests were served")
        return 2
    return 1 if broken else 0


def is_in_touch(machine: standins.Machine, at: float) -> bool:
    """Returns whether a node ran undisturbed for `stable_window_s`.

    A start by the platform ends the disturbance.
    """
    starts = [end + standins.RESTART_DELAY_S + 0.1 for end, _ in machine.ends]
    return all(
        at < end or at > start + STABLE_WINDOW_S
        for (end, _), start in zip(machine.ends, starts, strict=True)
    )


if __name__ == "__main__":
    sys.exit(standins.run_case(HERE, run))
