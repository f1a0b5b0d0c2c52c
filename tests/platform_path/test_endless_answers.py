"""Tests of answers without end, with whole processes.

A node reads answers of the server beside it, of the store and of other nodes.
The bounds are the limits of the nodes' own settings. No test checks times or
how many requests are served.
"""

import asyncio

import pytest
from vanillamast_testing.emulator import EmulatedPlatform
from vanillamast_testing.emulator.machine import PORTS

from tests.platform_path.endless_answers import (
    FLOODS,
    NODE_FLOODS,
    FloodNode,
    FloodServer,
    FloodStore,
)
from tests.platform_path.process_usage import read_peak_mb
from tests.platform_path.slow_server import SlowServer
from tests.platform_path.small_machine import (
    MEMORY_MB,
    add_small_machine,
    wait_for_answer,
)
from tests.platform_path.untrusted_crowd import Crowd, play
from tests.platform_path.untrusted_requests import START

NODES = 5
SLOTS = 16
CLIENTS = 60
HOLD_S = 2.0
TIMEOUT_S = 10.0
FLOOD_NODES = 6
STORE_PORT = 18499
FINISHED_GET = START + b"\r\n"


@pytest.fixture
async def platform(tmp_path):
    """Starts an emulated platform with a slow route."""
    async with EmulatedPlatform(tmp_path, "127.57") as platform:
        platform.operator.set_route(
            "page", "browse", timeout_s=TIMEOUT_S, target_latency_s=TIMEOUT_S
        )
        await platform.operator.publish()
        yield platform


async def play_at(machines):
    """Sends requests of a crowd to each of the machines; holds them."""
    crowd = Crowd("outbound", CLIENTS, ((FINISHED_GET, 1),))
    crowds = await asyncio.gather(
        *(play(crowd, machine.host, PORTS["outbound"]) for machine in machines)
    )
    await asyncio.sleep(HOLD_S)
    for clients in crowds:
        for client in clients:
            client.close()


def check(platform, kind):
    """Checks that each process lives and has kept its memory limit."""
    peaks = {}
    for name, machine in platform.machines.items():
        assert machine.process.running, name
        peaks[name] = round(read_peak_mb(machine.process))
    print(f"{kind}: {peaks} MB")
    assert max(peaks.values()) < MEMORY_MB


class TestServerAnswers:
    """A faulty server beside one of the nodes."""

    @pytest.mark.parametrize("kind", FLOODS)
    async def test_nodes_stay_within_their_limits(self, platform, kind):
        """Guards against a server whose answer takes the node's memory."""
        for number in range(NODES):
            await add_small_machine(
                platform, number % 2, "browse" if not number else "other"
            )
        platform.backends["m1"].slots = SLOTS
        await platform.wait_until_ready()
        machines = list(platform.machines.values())
        await platform.backends["m1"].site.stop()
        flood = FloodServer(*FLOODS[kind])
        await flood.start(machines[0].host, PORTS["app"])
        try:
            await play_at(machines[1:])
        finally:
            flood.close()
        server = SlowServer(0.02)
        await server.start(machines[0].host, PORTS["app"])
        try:
            await wait_for_answer(machines[1])
        finally:
            server.close()
        check(platform, kind)


class TestStoreAnswers:
    """A faulty store, or something else at its address."""

    @pytest.mark.parametrize("kind", [*FLOODS, "pages"])
    async def test_nodes_stay_within_their_limits(self, platform, kind):
        """Guards against an answer of the store that takes the memory."""
        machine = await platform.add_machine(0, "browse", node=False)
        store = FloodStore((machine.store_host, platform.store.port))
        await store.start(machine.host, STORE_PORT)
        text = machine.settings.read_text()
        machine.settings.write_text(
            text.replace(
                f'"{machine.store_host}:{platform.store.port}"',
                f'"{machine.host}:{STORE_PORT}"',
            ).replace("memory_mb = 300", f"memory_mb = {MEMORY_MB}")
        )
        try:
            await machine.process.start()
            await platform.wait_until_ready()
            store.switch(kind)
            await asyncio.sleep(HOLD_S)
            # It reads the list of nodes and the operator's state anew.
            await machine.process.kill()
            await machine.process.start()
            await asyncio.sleep(HOLD_S)
            check(platform, kind)
            store.switch("")
            await wait_for_answer(machine)
        finally:
            store.close()
        check(platform, kind)


class TestNodeAnswers:
    """Faulty nodes that are sent requests."""

    @pytest.mark.parametrize("kind", NODE_FLOODS)
    async def test_nodes_stay_within_their_limits(self, platform, kind):
        """Guards against a reply that takes the memory of its receiver."""
        floods = []
        for number in range(FLOOD_NODES):
            node = FloodNode(
                f"127.57.200.{number + 1}", 7000, "browse", *NODE_FLOODS[kind]
            )
            host, _, port = node.record.address.rpartition(":")
            await node.start(host, int(port))
            await node.announce(platform.store)
            floods.append(node)
        try:
            machine = await add_small_machine(platform, 0, "other")
            await platform.wait_until_ready()
            await play_at([machine])
        finally:
            for node in floods:
                node.close()
        server = await add_small_machine(platform, 0, "browse")
        await platform.wait_until_ready()
        await wait_for_answer(machine)
        check(platform, kind)
        del server
