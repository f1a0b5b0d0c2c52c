"""Tests of configurations and moves with nodes on the emulated platform."""

import asyncio
import time

import pytest
from vanillamast_testing.emulator import EmulatedPlatform

from tests.platform_path.fleet_checks import fetch_statuses, until

APPLY_BOUND_S = 2.0  # Stated bound of the deployments.


@pytest.fixture
async def fleet(tmp_path):
    """Starts one service on three machines in two failure domains."""
    async with EmulatedPlatform(tmp_path, "127.22") as platform:
        platform.operator.set_route("page", "browse")
        await platform.operator.publish()
        for zone in (0, 0, 1):
            await platform.add_machine(zone, "browse")
        await platform.wait_until_ready()
        yield platform


class TestConfigurationPath:
    """From the operator's record to the routes of every node."""

    async def test_a_change_is_applied_by_every_node(self, fleet):
        """Guards against a node that keeps an older configuration."""
        fleet.operator.set_route("extra", "browse")
        await fleet.operator.publish()

        async def served():
            return set(await fetch_statuses(fleet, "/extra/1")) == {200}

        await until(served)
        del fleet.operator.routes["extra"]
        await fleet.operator.publish()

        async def gone():
            return set(await fetch_statuses(fleet, "/extra/1")) == {404}

        await until(gone)

    async def test_an_older_version_changes_nothing(self, fleet):
        """Guards against a rollback caused by a reordered record."""
        fleet.operator.set_route("extra", "browse")
        newest = await fleet.operator.publish()

        async def served():
            return set(await fetch_statuses(fleet, "/extra/1")) == {200}

        await until(served)
        del fleet.operator.routes["extra"]
        fleet.operator.version = newest - 5
        await fleet.operator.publish()
        await asyncio.sleep(1.0)
        assert set(await fetch_statuses(fleet, "/extra/1")) == {200}

    async def test_a_deleted_history_is_read_from_its_newest_records(
        self, fleet
    ):
        """Guards against a node that stops reading after a compaction."""
        partition = fleet.store.partition("keyed.op", 0)
        for _ in range(3):
            partition.append([b"\x04junk" + b"x"])
        partition.trim(partition.end_offset)
        fleet.operator.set_route("extra", "browse")
        await fleet.operator.publish()

        async def served():
            return set(await fetch_statuses(fleet, "/extra/1")) == {200}

        await until(served)

    async def test_an_undecodable_record_changes_nothing(self, fleet):
        """Guards against a configuration that is applied in part."""
        await fleet.store.put("keyed.op", "config", b'{"version": 99, "res')
        await asyncio.sleep(0.5)
        assert set(await fetch_statuses(fleet, "/page/1")) == {200}
        fleet.operator.version = 100
        fleet.operator.set_route("extra", "browse")
        await fleet.operator.publish()

        async def served():
            return set(await fetch_statuses(fleet, "/extra/1")) == {200}

        await until(served)

    async def test_requests_are_served_while_the_store_is_down(self, fleet):
        """Guards against nodes that need the store to serve requests."""
        fleet.store.failure_mode = "unavailable"
        assert set(await fetch_statuses(fleet, "/page/1")) == {200}

    async def test_a_restarted_node_gets_its_state_from_peers_without_the_store(
        self, fleet
    ):
        """Guards against a node that is not ready while the store is down."""
        fleet.store.failure_mode = "reset"
        machine = fleet.machines["m2"]
        await machine.process.kill()
        await machine.process.start()

        async def ready():
            return await fleet.is_ready(machine)

        await until(ready)
        answer = await fleet.caller.send(machine, "/page/1")
        assert answer.status == 200

    async def test_a_machine_without_the_store_gets_changes_from_its_domain(
        self, fleet
    ):
        """Guards against an old configuration on a node without the store."""
        fleet.block_store("m1")

        async def store_lost():
            return fleet.last_log_line("m1", "store.lost") is not None

        await until(store_lost)
        fleet.operator.set_route("extra", "browse")
        await fleet.operator.publish()

        async def served():
            return set(await fetch_statuses(fleet, "/extra/1")) == {200}

        await until(served)


async def send_load(fleet, answers, stop):
    """Sends requests until the stop event is set."""
    while not stop.is_set():
        for machine in list(fleet.machines.values()):
            answers.append(
                asyncio.create_task(fleet.caller.send(machine, "/page/1"))
            )
        await asyncio.sleep(0.03)


class TestMoves:
    """Moves of traffic from the move spec to their end."""

    async def test_a_move_to_a_good_version_completes(self, fleet):
        """Guards against requests that are lost when old servers stop."""
        for zone in (0, 1):
            await fleet.add_machine(zone, "browse", "v2")
        await fleet.wait_until_ready()
        answers, stop = [], asyncio.Event()
        task = asyncio.create_task(send_load(fleet, answers, stop))
        await fleet.operator.start_move("browse", "v2", 6.0)
        started = time.monotonic()

        async def complete():
            return fleet.operator.move_state("browse") == "complete"

        await until(complete)
        took_s = time.monotonic() - started
        for name in ("m1", "m2", "m3"):
            await fleet.backends[name].kill()
        await asyncio.sleep(0.5)
        stop.set()
        await task
        results = await asyncio.gather(*answers)
        assert {answer.status for answer in results} == {200}
        assert took_s < 6.0
        assert fleet.backends["m4"].runs

    async def test_an_ended_move_needs_no_driver(self, fleet):
        """Guards against nodes that wait for a driver of an ended move."""
        await fleet.add_machine(1, "browse", "v2")
        await fleet.wait_until_ready()
        await fleet.operator.start_move("browse", "v2", 4.0)

        async def ended_everywhere():
            lines = [
                fleet.last_log_line(n, "move.plan") for n in fleet.machines
            ]
            recorded = [line for line in lines if line and line["recorded"]]
            return len(recorded) >= len(fleet.machines) - 1

        await until(ended_everywhere)
        # Longer than the timeout of a driver.
        await asyncio.sleep(2.0)
        for name in fleet.machines:
            assert fleet.last_log_line(name, "move.driver_silent") is None

    async def test_a_failing_version_is_rolled_back(self, fleet):
        """Guards against a failing version that keeps its traffic."""
        for zone in (0, 1):
            machine = await fleet.add_machine(zone, "browse", "v2")
            fleet.backends[machine.name].fail_every = 2
        await fleet.wait_until_ready()
        answers, stop = [], asyncio.Event()
        task = asyncio.create_task(send_load(fleet, answers, stop))
        await fleet.operator.start_move("browse", "v2", 12.0)

        async def reverted():
            return fleet.operator.move_state("browse") == "reverted"

        await until(reverted)
        exposed = sum(len(fleet.backends[n].runs) for n in ("m4", "m5"))
        total = sum(len(b.runs) for b in fleet.backends.values())
        await asyncio.sleep(0.5)
        after = sum(len(fleet.backends[n].runs) for n in ("m4", "m5"))
        stop.set()
        await task
        await asyncio.gather(*answers)
        assert exposed <= 0.1 * total + 50
        assert after == exposed

    async def test_a_version_without_a_move_spec_gets_nothing(self, fleet):
        """Guards against requests to servers that no move has released."""
        await fleet.add_machine(0, "browse", "v2")
        await fleet.wait_until_ready()
        for _ in range(20):
            await fetch_statuses(fleet, "/page/1")
        assert fleet.backends["m4"].runs == []

    async def test_a_killed_driver_is_replaced(self, fleet):
        """Guards against a move that stops with its driver's process."""
        await fleet.add_machine(1, "browse", "v2")
        await fleet.wait_until_ready()
        await fleet.operator.start_move("browse", "v2", 8.0)
        await asyncio.sleep(1.0)
        await fleet.machines["m1"].process.kill()

        async def complete():
            return fleet.operator.move_state("browse") == "complete"

        await until(complete)
