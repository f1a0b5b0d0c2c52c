"""Tests of cold servers and evacuations with real nodes."""

import asyncio
import time

import pytest
from vanillamast_testing.emulator import EmulatedPlatform

from tests.platform_path.fleet_checks import until

WARM_UP_PER_S = 7.0
# The bound of the settings: 1.5 times the rate and 8 more.
MOST_IN_A_SECOND = 18.5
REQUESTS_PER_S = 80.0
EVAC_S = 5.0


@pytest.fixture
async def fleet(tmp_path):
    """Starts two servers of a service in each of two failure domains."""
    async with EmulatedPlatform(tmp_path, "127.36") as platform:
        platform.operator.set_route("page", "browse")
        platform.operator.set_service(
            "browse", cold_s=6.0, warmup_per_s=WARM_UP_PER_S
        )
        await platform.operator.publish()
        for zone in (0, 0, 1, 1):
            machine = await platform.add_machine(zone, "browse")
            platform.backends[machine.name].slots = 64
        await platform.wait_until_ready()
        yield platform


async def send_for(fleet, seconds):
    """Sends requests to all nodes at a constant rate; returns the answers."""
    machines = [m for m in fleet.machines.values() if m.process.running]
    sends = []
    started = time.monotonic()
    while time.monotonic() < started + seconds:
        machine = machines[len(sends) % len(machines)]
        sends.append(asyncio.create_task(fleet.caller.send(machine, "/page/1")))
        due = started + len(sends) / REQUESTS_PER_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    return await asyncio.gather(*sends)


def most_in_a_second(arrivals):
    """Returns the most arrivals within a second."""
    return max(
        (sum(a <= at < a + 1.0 for at in arrivals) for a in arrivals),
        default=0,
    )


def turn_cold(backends, seconds):
    """Makes servers cold; returns when."""
    now = time.monotonic()
    for backend in backends:
        backend.cold_until = now + seconds
        backend.arrivals.clear()
    return now


class TestColdServers:
    """The whole fleet keeps to the warm-up rate of a cold server."""

    async def test_all_servers_of_a_service_turn_cold(self, fleet):
        """Guards against servers that crash under the load of all nodes."""
        backends = list(fleet.backends.values())
        turn_cold(backends, 30.0)
        for backend in backends:
            assert await backend.heartbeat()
            backend.arrivals.clear()
        answers = await send_for(fleet, 4.0)
        for backend in backends:
            # As much as the limit allows is used.
            assert len(backend.arrivals) >= 0.6 * WARM_UP_PER_S * 4.0
            assert most_in_a_second(backend.arrivals) <= MOST_IN_A_SECOND
        assert {answer.status for answer in answers} <= {200, 503}

    async def test_a_restarted_node_limits_its_cold_server(self, fleet):
        """Guards against requests before the node knows that it is cold."""
        backend, machine = fleet.backends["m1"], fleet.machines["m1"]
        turn_cold(fleet.backends.values(), 30.0)
        for other in fleet.backends.values():
            assert await other.heartbeat()
        await machine.process.kill()
        backend.arrivals.clear()
        await machine.process.start()
        await send_for(fleet, 4.0)
        assert 0 < most_in_a_second(backend.arrivals) <= MOST_IN_A_SECOND


class TestEvacuation:
    """Servers of an evacuated failure domain get no requests."""

    def backends(self, fleet, zone):
        """Returns the servers of a failure domain."""
        return [b for b in fleet.backends.values() if b.zone == zone]

    async def test_other_domains_serve_its_callers_until_it_ends(self, fleet):
        """Guards against requests to a failure domain that is evacuated."""
        # The nodes of the domain learn of it from the others.
        fleet.block_store("m1")
        fleet.block_store("m2")
        evacuated = self.backends(fleet, "z0")
        await fleet.operator.evacuate("z0")

        async def known():
            lines = [
                fleet.last_log_line(name, "evacuation.changed")
                for name in fleet.machines
            ]
            return all(line and line["evacuated"] for line in lines)

        await until(known, EVAC_S)
        # A started node learns of it without the store.
        machine = fleet.machines["m1"]
        await machine.process.kill()
        await machine.process.start()

        async def ready():
            return await fleet.is_ready(machine)

        await until(ready)
        await asyncio.sleep(0.1)
        for backend in evacuated:
            backend.arrivals.clear()
        answers = await send_for(fleet, 2.0)
        assert [b.arrivals for b in evacuated] == [[], []]
        served = sum(answer.status == 200 for answer in answers)
        assert served >= 0.95 * len(answers)

        # They were off meanwhile, and say so only in their next heartbeats.
        turn_cold(evacuated, 30.0)
        await fleet.operator.withdraw_evacuation("z0")
        await send_for(fleet, 4.0)
        for backend in evacuated:
            assert most_in_a_second(backend.arrivals) <= MOST_IN_A_SECOND
        assert any(b.arrivals for b in evacuated)

    async def test_no_server_outside_evacuated_domains(self, fleet):
        """Guards against an evacuated server as the last resort."""
        for zone in ("z0", "z1"):
            await fleet.operator.evacuate(zone)
        await asyncio.sleep(2.0)
        for backend in fleet.backends.values():
            backend.arrivals.clear()
        machine = fleet.machines["m1"]
        await machine.process.kill()
        await machine.process.start()
        await asyncio.sleep(2.0)
        answers = await send_for(fleet, 1.0)
        assert {answer.status for answer in answers} == {503}
        assert all(not b.arrivals for b in fleet.backends.values())
