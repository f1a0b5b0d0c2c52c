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


@pytest.mark.parametrize("connects", ["other", "restarted"])
class TestRestartInOutage:
    """A node ends while the store is away; another one remembers."""

    async def restart(self, fleet, connects):
        """Kills the first node; it restarts without the store's list.

        The other node connects to it, or hears of it first from the store.
        """
        machine = fleet.machines["m1"]
        await machine.process.kill()
        if connects == "restarted":
            # It reads the list once, and is the first one to connect.
            fleet.store.failure_mode = ""
        await machine.process.start()
        if connects == "restarted":
            await fleet.wait_until_ready()
        else:
            await asyncio.sleep(2.0)

    async def test_a_departure_binds(self, fleet, connects):
        """Guards against a server that left in an outage, in use again."""
        leaving = fleet.backends["m1"]
        leaving.heartbeat_task.cancel()
        fleet.store.failure_mode = "unavailable"
        assert await leaving.deregister()
        await self.restart(fleet, connects)
        leaving.arrivals.clear()
        await leaving.heartbeat()
        fleet.store.failure_mode = ""
        await asyncio.sleep(1.0)
        assert await send_to_all(fleet) <= {200, 503}
        assert leaving.arrivals == []

    async def test_the_store_has_it_afterwards(self, fleet, connects):
        """Guards against a departure that the next kill of all forgets."""
        leaving = fleet.backends["m1"]
        leaving.heartbeat_task.cancel()
        fleet.store.failure_mode = "unavailable"
        assert await leaving.deregister()
        await self.restart(fleet, connects)
        fleet.store.failure_mode = ""

        async def recorded():
            stored = fleet.store.partition("keyed.vanillamast-nodes", 0).newest
            return any(
                leaving.id.encode() in value for value, _ in stored.values()
            )

        await until(recorded)
        await fleet.wait_until_ready()
        await kill_all(fleet)
        leaving.arrivals.clear()
        await leaving.heartbeat()
        assert await send_to_all(fleet) <= {200, 503}
        assert leaving.arrivals == []

    async def test_a_rate_limit_binds(self, fleet, connects):
        """Guards against a limit that a restart in an outage lifts."""
        limited = fleet.backends["m1"]
        limited.rate_limit = 1.0
        await send_to_all(fleet, 2)
        fleet.store.failure_mode = "unavailable"
        await self.restart(fleet, connects)
        fleet.store.failure_mode = ""

        async def restored():
            line = fleet.last_log_line("m1", "server.changed")
            return line is not None and line["rate_limit"] == 1.0

        await until(restored)


class TestReplacedServer:
    """The next server of a machine is used, whatever the last one said."""

    async def test_it_is_used_after_a_restart_in_an_outage(self, fleet):
        """Guards against a machine that an old departure keeps out of use."""
        backend = fleet.backends["m1"]
        backend.heartbeat_task.cancel()
        fleet.store.failure_mode = "unavailable"
        assert await backend.deregister()
        await fleet.machines["m1"].process.kill()
        await fleet.machines["m1"].process.start()
        backend.born_ms += 1
        fleet.store.failure_mode = ""
        await fleet.wait_until_ready()
        await backend.heartbeat()
        backend.arrivals.clear()

        async def used():
            await send_to_all(fleet, 2)
            return bool(backend.arrivals)

        await until(used)
