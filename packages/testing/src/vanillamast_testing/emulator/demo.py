"""Demo of the request path and of moves on one machine: `make demo`."""

import asyncio
import pathlib
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable

from vanillamast_testing.emulator.caller import CallerAnswer
from vanillamast_testing.emulator.machine import Machine
from vanillamast_testing.emulator.platform import EmulatedPlatform

ZONES = 3
REQUEST_INTERVAL_S = 0.02
READY_POLL_S = 0.1
STEP_TIMEOUT_S = 30.0  # Only a hang takes this long.
MOVE_S = 8.0


class Demo:
    """Runs the steps and collects the answers to callers.

    Attributes:
      platform: The emulated platform.
      answers: Answers to callers.
      failed: Names of the outcomes that failed.
      tasks: The sending of requests and the polling of readiness.
      ready: Machines whose node is ready; only these get requests.
    """

    def __init__(self, platform: EmulatedPlatform):
        self.platform = platform
        self.answers: list[CallerAnswer] = []
        self.failed: list[str] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.ready: list[Machine] = []

    def report_outcome(self, outcome: str, held: bool, detail: str) -> None:
        """Prints an outcome and records it if it failed."""
        print(f"{'held  ' if held else 'FAILED'}  {outcome}: {detail}")
        if not held:
            self.failed.append(outcome)

    async def run(self) -> int:
        """Runs all steps; returns the exit status."""
        platform = self.platform
        platform.operator.set_route("page", "browse")
        platform.operator.set_route("post", "publish", kind="non_idempotent")
        await platform.operator.publish()
        for zone in range(ZONES):
            await platform.add_machine(zone, "browse")
            await platform.add_machine(zone, "publish")
        await platform.wait_until_ready()
        self.tasks = [
            asyncio.create_task(self._watch_readiness()),
            asyncio.create_task(self._send_requests()),
        ]
        await self._publish_route()
        await self._restart_killed_node()
        await self._restart_without_store()
        await self._move_to_good_version()
        await self._move_to_failing_version()
        for task in self.tasks:
            task.cancel()
        self._report_totals()
        return 1 if self.failed else 0

    async def _send_requests(self) -> None:
        number = 0
        while True:
            number += 1
            if not self.ready:
                await asyncio.sleep(READY_POLL_S)
                continue
            machine = self.ready[number % len(self.ready)]
            path = "/post/1" if number % 3 == 0 else "/page/1"
            method = "POST" if number % 3 == 0 else "GET"
            task = asyncio.create_task(
                self.platform.caller.send(machine, path, method)
            )
            task.add_done_callback(lambda t: self.answers.append(t.result()))
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _watch_readiness(self) -> None:
        """Polls all nodes for readiness."""
        while True:
            machines = list(self.platform.machines.values())
            found = await asyncio.gather(
                *(self.platform.is_ready(machine) for machine in machines)
            )
            self.ready = [
                machine
                for machine, ready in zip(machines, found, strict=True)
                if ready
            ]
            await asyncio.sleep(READY_POLL_S)

    async def _wait_until(self, check: Callable[[], Awaitable[bool]]) -> float:
        """Waits until a check holds; returns how long that took."""
        started = time.monotonic()
        async with asyncio.timeout(STEP_TIMEOUT_S):
            while not await check():
                await asyncio.sleep(0.02)
        return time.monotonic() - started

    async def _all_serve(self, path: str) -> bool:
        for machine in self.platform.machines.values():
            if machine.process.running:
                answer = await self.platform.caller.send(machine, path)
                if answer.status != 200:
                    return False
        return True

    async def _publish_route(self) -> None:
        self.platform.operator.set_route("news", "browse")
        await self.platform.operator.publish()
        took_s = await self._wait_until(lambda: self._all_serve("/news/1"))
        self.report_outcome(
            "a configuration is active on every node",
            took_s < 2.0,
            f"{took_s:.2f} s of 2 s",
        )

    async def _restart_killed_node(self) -> None:
        machine = self.platform.machines["m1"]
        await machine.process.kill()
        await machine.process.start()
        took_s = await self._wait_until(lambda: self.platform.is_ready(machine))
        self.report_outcome("a killed node is back", True, f"{took_s:.2f} s")

    async def _restart_without_store(self) -> None:
        self.platform.store.failure_mode = "reset"
        machine = self.platform.machines["m2"]
        await machine.process.kill()
        await machine.process.start()
        took_s = await self._wait_until(lambda: self.platform.is_ready(machine))
        served = await self._all_serve("/page/1")
        self.report_outcome(
            "nodes serve, and one restarts, without the store",
            served,
            f"ready after {took_s:.2f} s",
        )
        self.platform.store.failure_mode = ""

    async def _wait_for_move(self, service: str, state: str) -> float:
        async def check() -> bool:
            return self.platform.operator.move_state(service) == state

        return await self._wait_until(check)

    async def _move_to_good_version(self) -> None:
        for zone in range(ZONES):
            await self.platform.add_machine(zone, "browse", "v2")
        await self.platform.wait_until_ready()
        await self.platform.operator.start_move("browse", "v2", MOVE_S)
        took_s = await self._wait_for_move("browse", "complete")
        self.report_outcome(
            "a good version takes over in time",
            took_s < MOVE_S,
            f"{took_s:.1f} s of {MOVE_S:.0f} s",
        )

    async def _move_to_failing_version(self) -> None:
        names = []
        for zone in range(ZONES):
            machine = await self.platform.add_machine(zone, "publish", "v2")
            self.platform.backends[machine.name].fail_every = 2
            names.append(machine.name)
        await self.platform.wait_until_ready()
        await self.platform.operator.start_move("publish", "v2", MOVE_S * 2)
        took_s = await self._wait_for_move("publish", "reverted")
        await asyncio.sleep(0.3)
        exposed = sum(len(self.platform.backends[n].runs) for n in names)
        self.report_outcome(
            "a failing version is rolled back",
            exposed <= 50,
            f"after {took_s:.1f} s and {exposed} requests",
        )

    def _report_totals(self) -> None:
        runs: dict[str, int] = {}
        for backend in self.platform.backends.values():
            for run in backend.runs:
                if run.method == "POST":
                    runs[run.request_id] = runs.get(run.request_id, 0) + 1
        twice = sum(count > 1 for count in runs.values())
        self.report_outcome(
            "no post runs twice", twice == 0, f"{twice} of {len(runs)} posts"
        )
        refused = [a for a in self.answers if a.status in (429, 503)]
        untrue = sum(answer.request_id in runs for answer in refused)
        self.report_outcome(
            "a refused post has not run",
            untrue == 0,
            f"{untrue} of {len(refused)} refusals",
        )
        served = sum(answer.status == 200 for answer in self.answers)
        total = len(self.answers)
        self.report_outcome(
            "callers are served",
            served >= 0.95 * total,
            f"{served} of {total} requests",
        )


async def main() -> int:
    """Runs the demo in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        async with EmulatedPlatform(pathlib.Path(folder), "127.30") as platform:
            return await Demo(platform).run()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
