"""Tests of a store that returns from a copy that is some seconds old."""

import asyncio
import json

import msgspec
import pytest
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_testing.emulator import EmulatedPlatform

from tests.platform_path.fleet_checks import (
    fetch_statuses,
    publish_route,
    until,
)

NODES_TOPIC = "keyed.vanillamast-nodes"
# The nodes have heard of the new era and have read the store.
SETTLED_S = 2.0


@pytest.fixture
async def fleet(tmp_path):
    """Starts one service on three machines in two failure domains."""
    async with EmulatedPlatform(tmp_path, "127.44") as platform:
        platform.operator.set_route("page", "browse")
        await platform.operator.publish()
        for zone in (0, 0, 1):
            await platform.add_machine(zone, "browse")
        await platform.wait_until_ready()
        yield platform


def stored_node(fleet, name):
    """Returns a machine's record in the store, None without one."""
    host = fleet.machines[name].host
    for key, (value, _) in fleet.store.partition(NODES_TOPIC, 0).newest.items():
        if key.startswith(f"{host}:"):
            return msgspec.msgpack.decode(value, type=NodeRecord)
    return None


class TestConfigurations:
    """The operator's stream, whose offsets are given out again."""

    async def test_a_reused_offset_hides_no_change(self, fleet):
        """Guards against a record at an offset that was read before."""
        copy = fleet.store.make_copy()
        for name in ("one", "two"):
            await publish_route(fleet, name)
        end_offset = fleet.store.partition("keyed.op", 0).end_offset
        fleet.block_store("m2")
        fleet.store.failure_mode = "reset"
        await asyncio.sleep(0.5)
        await fleet.operator.restore_store(copy)
        fleet.operator.set_route("three", "browse")
        await fleet.operator.publish()
        while fleet.store.partition("keyed.op", 0).end_offset < end_offset:
            await fleet.store.put("keyed.op", "junk", b"x")
        fleet.store.failure_mode = ""

        async def served():
            return set(await fetch_statuses(fleet, "/three/1")) == {200}

        await until(served)
        await publish_route(fleet, "four")

    async def test_a_lost_configuration_stays_in_force(self, fleet):
        """Guards against a return to the configuration of the copy."""
        copy = fleet.store.make_copy()
        await publish_route(fleet, "one")
        lost = await fleet.store.restore(copy)
        await asyncio.sleep(SETTLED_S)
        assert set(await fetch_statuses(fleet, "/one/1")) == {200}
        await fleet.store.put("keyed.op", "config", lost["config"])
        await publish_route(fleet, "two")


class TestNodes:
    """What nodes have written themselves."""

    async def test_a_node_writes_its_record_again(self, fleet):
        """Guards against a node that a restarted fleet cannot find."""
        copy = fleet.store.make_copy()
        await fleet.add_machine(1, "browse")
        await fleet.wait_until_ready()
        assert stored_node(fleet, "m4") is not None
        await fleet.store.restore(copy)
        assert stored_node(fleet, "m4") is None

        async def written():
            return stored_node(fleet, "m4") is not None

        await until(written)

    async def test_a_departure_is_written_again(self, fleet):
        """Guards against a server in use again that was let go."""
        copy = fleet.store.make_copy()
        leaving = fleet.backends["m1"]
        leaving.heartbeat_task.cancel()
        assert await leaving.deregister()
        await fleet.store.restore(copy)

        async def written():
            record = stored_node(fleet, "m1")
            return record.instance is not None and record.instance.leaving

        await until(written)


class TestMoves:
    """States of moves that the driver has recorded."""

    async def test_an_end_is_recorded_again(self, fleet):
        """Guards against an operator that waits for the end of a move."""
        await fleet.add_machine(1, "browse", "v2")
        await fleet.wait_until_ready()
        before = fleet.store.make_copy()
        await fleet.operator.start_move("browse", "v2", 4.0)

        async def active():
            return fleet.operator.move_state("browse") == "active"

        async def complete():
            return fleet.operator.move_state("browse") == "complete"

        await until(active)
        copy = fleet.store.make_copy()
        await until(complete)
        await fleet.operator.restore_store(copy)
        assert not await complete()
        await until(complete)
        # The order itself is lost and gets another number.
        lost = await fleet.store.restore(before)
        await fleet.store.put("keyed.op", "junk", b"x")
        await asyncio.sleep(SETTLED_S)
        order = await fleet.store.put(
            "keyed.op", "rollout/browse", lost["rollout/browse"]
        )
        await until(complete)
        value = fleet.store.newest("keyed.status", "rollout/browse")
        assert json.loads(value)["order"] == order
        assert set(await fetch_statuses(fleet, "/page/1")) == {200}
