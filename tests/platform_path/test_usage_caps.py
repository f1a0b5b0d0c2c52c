"""Tests of usage caps with nodes on the emulated platform."""

import asyncio
import time

import pytest
from vanillamast_testing.emulator import EmulatedPlatform

from tests.platform_path.fleet_checks import until

RATE_PER_S = 20.0
BURST = 10.0
WINDOW_S = 5.0
BOUND = (RATE_PER_S * WINDOW_S + BURST) * 1.1 + 20.0
LOAD_S = 8.0


@pytest.fixture
async def fleet(tmp_path):
    """Starts one service on four machines in two failure domains."""
    async with EmulatedPlatform(tmp_path, "127.41") as platform:
        platform.operator.set_route("page", "browse")
        platform.operator.set_organisation(
            "acme", "key-acme", rate_per_s=RATE_PER_S, burst=BURST
        )
        platform.operator.set_organisation("other", "key-other")
        await platform.operator.publish()
        for zone in (0, 0, 1, 1):
            await platform.add_machine(zone, "browse")
        await platform.wait_until_ready()
        yield platform


def send(fleet, machine, name):
    """Sends a request of an organisation."""
    return fleet.caller.send(machine, "/page/1", key=f"key-{name}")


async def send_load(fleet, name, interval_s, times, answers):
    """Sends requests to all machines for a time."""
    pending = []

    async def send_one(machine):
        answer = await send(fleet, machine, name)
        answers.append(answer)
        if answer.status == 200:
            times.append(time.monotonic())

    end = time.monotonic() + LOAD_S
    while time.monotonic() < end:
        for machine in fleet.machines.values():
            pending.append(asyncio.create_task(send_one(machine)))
        await asyncio.sleep(interval_s)
    await asyncio.gather(*pending)


class TestUsageCaps:
    """One cap over all nodes."""

    async def test_a_cap_holds_over_all_nodes(self, fleet):
        """Guards against a cap for each node, and against unused ones."""

        async def admitted():
            answers = [
                await send(fleet, machine, "acme")
                for machine in fleet.machines.values()
            ]
            return {answer.status for answer in answers} == {200}

        await until(admitted)
        times, answers, free = [], [], []
        await asyncio.gather(
            send_load(fleet, "acme", 0.06, times, answers),
            send_load(fleet, "other", 0.3, [], free),
        )
        assert {answer.status for answer in answers} == {200, 429}
        refused = [a for a in answers if a.status == 429]
        assert all(answer.retry_after_s >= 0.1 for answer in refused)
        assert all(answer.body == "over_cap\n" for answer in refused)
        assert {answer.status for answer in free} == {200}
        fullest = max(
            sum(at <= other < at + WINDOW_S for other in times) for at in times
        )
        assert fullest <= BOUND
        assert len(times) >= 0.85 * RATE_PER_S * LOAD_S
