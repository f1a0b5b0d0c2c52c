"""Tests of the nodes that read the store for their failure domain."""

import asyncio
import contextlib

import pytest
from vanillamast_testing.emulator import EmulatedPlatform

from tests.platform_path.fleet_checks import (
    SHORTEST_POLL_S,
    publish_route,
    until,
)

NODES = 5
READERS = 2
LONG_POLL_S = 28.0  # Of a standby.


@pytest.fixture
async def fleet(tmp_path):
    """Starts five machines in one failure domain; two of them read."""
    async with start_fleet(tmp_path, [0] * NODES) as platform:
        yield platform


@pytest.fixture
async def two_domains(tmp_path):
    """Starts three machines in each of two failure domains."""
    async with start_fleet(tmp_path, [0, 0, 0, 1, 1, 1]) as platform:
        yield platform


@contextlib.asynccontextmanager
async def start_fleet(folder, zones):
    """Starts a machine in each of the zones; waits for two readers a zone."""
    async with EmulatedPlatform(folder, "127.25") as platform:
        platform.operator.set_route("page", "browse")
        await platform.operator.publish()
        for zone in zones:
            await platform.add_machine(zone, "browse")
        await platform.wait_until_ready()

        async def settled():
            return len(readers(platform)) == READERS * len(set(zones))

        await until(settled)
        yield platform


def readers(fleet):
    """Returns the names of the running nodes that read the store."""
    return {
        name
        for name, machine in fleet.machines.items()
        if machine.process.running and reads(fleet, name)
    }


def reads(fleet, name):
    """Returns whether a node reads the store, according to its log."""
    line = fleet.last_log_line(name, "operator.duty")
    return line is not None and line["reads"]


class TestOperatorReaders:
    """Two nodes of a domain read; all nodes get the newest state."""

    async def test_a_change_costs_one_call_for_each_reader(self, fleet):
        """Guards against calls to the store that grow with the fleet."""
        await asyncio.sleep(1.0)  # Aborted long polls have ended.
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        fleet.store.callers.clear()
        before = fleet.store.calls["/api/log-read"]
        await publish_route(fleet, "extra")
        await asyncio.sleep(1.0)
        assert len(fleet.store.callers["/api/log-read"]) <= READERS
        # The change ends a poll of each reader, which starts the next one. One
        # of them also starts a poll whenever the last one ends without change.
        polls = (loop.time() - begun_at) / SHORTEST_POLL_S
        calls = fleet.store.calls["/api/log-read"] - before
        assert calls <= 2 * READERS + polls

    async def test_readers_without_the_store_are_replaced(self, fleet):
        """Guards against a domain whose readers lost the store."""
        lost = readers(fleet)
        for name in lost:
            fleet.block_store(name)

        async def replaced():
            return len(readers(fleet) - lost) >= READERS

        await until(replaced)
        await publish_route(fleet, "extra")

    async def test_killed_readers_are_replaced(self, fleet):
        """Guards against a domain whose readers fail at the same time."""
        for name in readers(fleet):
            await fleet.machines[name].process.kill()
        await publish_route(fleet, "extra")

        async def replaced():
            return len(readers(fleet)) >= READERS

        await until(replaced)

    async def test_a_move_spec_reaches_nodes_that_do_not_read(self, fleet):
        """Guards against a move that only the readers know of."""
        await fleet.operator.start_move("browse", "v2", 30.0)

        async def known():
            return all(
                fleet.last_log_line(name, "move.ordered") is not None
                for name in fleet.machines
            )

        await until(known)


class TestSilentTopic:
    """The operator's topic is silent while the store answers other calls."""

    async def test_later_changes_are_applied(self, fleet):
        """Guards against readers that stay in long polls without an answer."""
        # The readers begin their next polls while the topic is silent.
        await publish_route(fleet, "first")
        fleet.store.silent_topics.add("keyed.op")
        await asyncio.sleep(2.0)
        fleet.store.silent_topics.clear()
        async with asyncio.timeout(LONG_POLL_S / 2):
            await publish_route(fleet, "second")


class TestRefusedDomain:
    """The store turns away one failure domain and serves the other."""

    async def test_changes_come_from_the_other_domain(self, two_domains):
        """Guards against old routes for as long as the store refuses."""
        refused = [
            name
            for name, machine in two_domains.machines.items()
            if machine.zone == "z1"
        ]
        for name in refused:
            two_domains.block_store(name)
        for route in ("first", "second", "third"):
            # The pending polls of the refused readers still get the first.
            await publish_route(two_domains, route)
        for name in refused:
            line = two_domains.last_log_line(name, "config.applied")
            assert line["source"] == "peer"
