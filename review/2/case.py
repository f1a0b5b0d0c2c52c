"""A server whose answer never ends, in small chunks, ends the node."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Chunks of two bytes: a program that prints a line of one letter for ever.
CHUNKS = b"2\r\ny\n\r\n" * 20_000
KEPT_CONNECTIONS = 8
PULLS = 9  # As many as the server has slots.
ROUNDS = 6  # Three for each of two servers.
MAX_LOST = 3  # LOST: "more than three times".
# Fault: "on a tenth of the machines in use (two at least) processes end by
# themselves three times".
FAULT_MACHINES = 2
FAULT_ENDS = 3


class EndlessServer(standins.Server):
    """A server in trouble: its answers' bodies do not end.

    Attributes:
      in_trouble: Whether it is in trouble now.
      endless: Answers that were sent without end.
    """

    in_trouble = False
    endless = 0

    async def _handle(
        self, request: standins.Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        if not self.in_trouble or request.first[1] == "/health":
            return await super()._handle(request, writer)
        request_id = request.headers.get(standins.REQUEST_ID, "")
        method, target, _ = request.first
        self.runs.append(
            standins.Run(request_id, method, target, 0, time.monotonic())
        )
        self.endless += 1
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            b"X-Vanillamast-Request-Id: %b\r\n\r\n" % request_id.encode()
        )
        while True:  # Until the caller closes.
            writer.write(CHUNKS)
            await writer.drain()


async def run(fleet: standins.Fleet, record: standins.Record) -> int:
    """Plays small requests beside the trouble; checks the rule."""
    await fleet.start_store()
    troubled: list[EndlessServer] = []
    for zone in fleet.site.zones:
        for service in ("pen-records", "rota-board"):
            machine = await fleet.add_machine(zone, service)
            kind = (
                EndlessServer if service == "pen-records" else standins.Server
            )
            server = kind(fleet, machine)
            server.work_s = 0.3
            await server.start()
            if isinstance(server, EndlessServer) and len(troubled) < 2:
                troubled.append(server)
    await fleet.publish(
        {
            "history": {
                "service": "pen-records",
                "kind": "idempotent",
                "timeout_s": 5.0,
                "target_latency_s": 0.8,
            },
            "read": {"service": "rota-board", "kind": "idempotent"},
        }
    )
    await fleet.wait_until_ready()
    await asyncio.sleep(4.0)  # All machines are in touch.
    stop = asyncio.Event()
    answers: list[tuple[bool, standins.Answer]] = []

    async def read_schedule(entry: standins.Machine) -> None:
        client = standins.Requester(entry, fleet.ports["outbound"])
        kept = False
        while not stop.is_set():
            answer = await client.send("GET", "/read/1", deadline_ms=2000)
            answers.append((kept, answer))
            kept = answer.status > 0 and client.writer is not None
            if not kept:
                await asyncio.sleep(0.3)
        client.close()

    async def pull_history(entry: standins.Machine) -> None:
        client = standins.Requester(entry, fleet.ports["outbound"])
        answer = await client.send(
            "GET", "/history/1", deadline_ms=5000, timeout_s=6.0
        )
        record.write(
            f"history pull {answer.request_id}: status {answer.status}"
        )
        client.close()

    readers = [
        asyncio.ensure_future(read_schedule(server.machine))
        for server in troubled
        for _ in range(KEPT_CONNECTIONS)
    ]
    await asyncio.sleep(1.0)
    for number in range(ROUNDS):
        server = troubled[number % len(troubled)]
        server.in_trouble = TROUBLE
        pulls = (pull_history(server.machine) for _ in range(PULLS))
        await asyncio.gather(*pulls)
        server.in_trouble = False
        await asyncio.sleep(4.5)  # The machine is in touch again.
    stop.set()
    await asyncio.gather(*readers)
    runs = {run.request_id for s in fleet.servers for run in s.runs}
    lost = [a for kept, a in answers if kept and a.status == 0]
    lost_passed_on = [a for a in lost if a.request_id in runs]
    for machine in fleet.machines.values():
        record.write(
            f"{machine.name}: peak {machine.peak_mb:.0f} MB,"
            f" ended {len(machine.ends)} times"
        )
    good = sum(a.status == 200 for _, a in answers)
    machines = list(fleet.machines.values())
    faulty = sum(len(machine.ends) >= FAULT_ENDS for machine in machines)
    endless = sum(server.endless for server in troubled)
    record.write(
        f"{endless} answers without end; {len(answers)} small"
        f" requests, {good} answered with 200, {len(lost_passed_on)} passed on"
        " from a kept connection and closed without an answer (LOST: more than"
        f" {MAX_LOST}); on {faulty} of {len(machines)} machines a process"
        f" ended {FAULT_ENDS} times (Fault: {FAULT_MACHINES} machines)"
    )
    if good < KEPT_CONNECTIONS:
        record.write("the case could not run: too few requests were served")
        return 2
    broken = len(lost_passed_on) > MAX_LOST or faulty >= FAULT_MACHINES
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(standins.run_case(HERE, run, standins.PENROTA))
