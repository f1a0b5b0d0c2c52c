"""Tests of servers that have left while all nodes are killed."""

import asyncio

import pytest
from vanillamast_testing.emulator import EmulatedPlatform

from tests.platform_path.fleet_checks import until

# A server waits this long for an acknowledgement.
ACKNOWLEDGEMENT_S = 1.0


@pytest.fixture
async def fleet(tmp_path):
    """Starts two servers of a service in two failure domains."""
    async with EmulatedPlatform(tmp_path, "127.31") as platform:
        platform.operator.set_route("page", "browse")
        await platform.operator.publish()
        await platform.add_machine(0, "browse")
        await platform.add_machine(1, "browse")
        await platform.wait_until_ready()
        yield platform


async def kill_all(fleet):
    """Kills all nodes at the same time and starts them again."""
    machines = fleet.machines.values()
    await asyncio.gather(*(machine.process.kill() for machine in machines))
    for machine in machines:
        await machine.process.start()
    await fleet.wait_until_ready()


async def send_to_all(fleet, rounds=10):
    """Sends requests to each node in turn; returns their statuses."""
    return {
        (await fleet.caller.send(machine, "/page/1")).status
        for _ in range(rounds)
        for machine in fleet.machines.values()
    }


class TestKillOfAllNodes:
    """A departure that was acknowledged outlives the processes."""

    @pytest.mark.parametrize("action", ["deregister", "drain"])
    async def test_a_late_heartbeat_brings_no_server_back(self, fleet, action):
        """Guards against a server in use again after all nodes restarted."""
        leaving = fleet.backends["m1"]
        leaving.heartbeat_task.cancel()
        assert await getattr(leaving, action)()
        await kill_all(fleet)
        leaving.arrivals.clear()
        leaving.state = "ready"
        # Sent before the server left, with a sequence number that no process
        # has seen.
        await leaving.heartbeat()
        assert await send_to_all(fleet) <= {200, 503}
        assert leaving.arrivals == []

    async def test_a_notice_in_a_response_is_kept(self, fleet):
        """Guards against a server that said that it leaves, in use again."""
        leaving = fleet.backends["m1"]
        leaving.heartbeat_task.cancel()
        leaving.names_leaving = True
        await send_to_all(fleet, 2)

        async def recorded():
            return fleet.last_log_line("m1", "departure.recorded") is not None

        await until(recorded)
        await kill_all(fleet)
        leaving.arrivals.clear()
        await leaving.heartbeat()
        assert await send_to_all(fleet) <= {200, 503}
        assert leaving.arrivals == []

    async def test_a_new_incarnation_is_used(self, fleet):
        """Guards against a machine that a departure keeps out of use."""
        backend = fleet.backends["m1"]
        backend.heartbeat_task.cancel()
        assert await backend.deregister()
        await kill_all(fleet)
        backend.arrivals.clear()
        backend.born_ms += 1
        await backend.heartbeat()
        await asyncio.sleep(0.5)
        assert await send_to_all(fleet) == {200}
        assert backend.arrivals


class TestStoreOutage:
    """A departure is acknowledged and kept while the store is away."""

    async def test_it_is_recorded_when_the_store_is_back(self, fleet):
        """Guards against a departure that only the processes remember."""
        leaving = fleet.backends["m1"]
        leaving.heartbeat_task.cancel()
        fleet.store.failure_mode = "unresponsive"
        assert await asyncio.wait_for(
            leaving.deregister(), ACKNOWLEDGEMENT_S + 5.0
        )
        assert await send_to_all(fleet) <= {200, 503}
        fleet.store.failure_mode = ""

        async def recorded():
            line = fleet.last_log_line("m1", "departure.recorded")
            return line is not None and line["instance"] == leaving.id

        await until(recorded)
        await kill_all(fleet)
        leaving.arrivals.clear()
        await leaving.heartbeat()
        assert await send_to_all(fleet) <= {200, 503}
        assert leaving.arrivals == []
