"""Tests of a request that ends each server that runs it."""

import asyncio

import pytest
from vanillamast_sidecar.crashes.crash_settings import CrashSettings
from vanillamast_testing.emulator import EmulatedPlatform

DEADLY_PATH = "/page/deadly"
ROUNDS = 60
ROUND_S = 0.1


@pytest.fixture
async def fleet(tmp_path):
    """Starts four servers of a service in two failure domains."""
    async with EmulatedPlatform(tmp_path, "127.33") as platform:
        platform.operator.set_route("page", "browse")
        await platform.operator.publish()
        for zone in (0, 0, 1, 1):
            await platform.add_machine(zone, "browse")
        await platform.wait_until_ready()
        for backend in platform.backends.values():
            backend.deadly_path = DEADLY_PATH
        yield platform


class TestDeadlyRequest:
    """It reaches as many servers as it takes to know it, and no further one."""

    async def test_it_ends_three_servers_in_all(self, fleet):
        """Guards against retries that end one server after the other."""
        machines = list(fleet.machines.values())
        deadly, sound = [], []
        for number in range(ROUNDS):
            machine = machines[number % len(machines)]
            deadly.append(
                asyncio.create_task(fleet.caller.send(machine, DEADLY_PATH))
            )
            sound += [
                asyncio.create_task(
                    fleet.caller.send(machine, f"/page/{number}-{copy}")
                )
                for copy in range(2)
            ]
            await asyncio.sleep(ROUND_S)
        held = await asyncio.gather(*deadly)
        served = await asyncio.gather(*sound)
        crashes = sum(b.crashes for b in fleet.backends.values())
        assert crashes <= CrashSettings().max_ends
        last = held[-1]
        assert last.status == 503 and last.retry_after_s > 1.0
        late = served[len(served) // 2 :]
        assert {answer.status for answer in late} == {200}
