"""Tests of the messages between nodes, over loopback connections."""

import asyncio
import os

import pytest
from vanillamast_sidecar.call_result import CallResult
from vanillamast_sidecar.event_logger import EventLogger
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.instance_record import InstanceRecord
from vanillamast_sidecar.load_report import LoadReport
from vanillamast_sidecar.mesh import Mesh
from vanillamast_sidecar.metrics import Metrics
from vanillamast_sidecar.move_table import MoveTable
from vanillamast_sidecar.node_record import NodeRecord
from vanillamast_sidecar.outcome import Outcome
from vanillamast_sidecar.settings import Address, Bounds, SidecarSettings

PORT = 18400


def settings(host: str, domain: str) -> SidecarSettings:
    """Returns the settings of a node."""
    address = Address(host, PORT)
    return SidecarSettings(
        host,
        domain,
        "browse",
        *[address] * 6,
        1.5,
        Bounds(2.0, 6.0, 2.0, 0.2, 10.0, 60.0, 0.1, 50.0, 5.0),
        FieldNames(*[b"x"] * 6),
    )


def instance(host: str) -> InstanceRecord:
    """Returns a ready server on a host."""
    return InstanceRecord(
        f"i-{host}", 1, 1, "browse", "v1", 9, True, False, 0.0, f"{host}:1"
    )


@pytest.fixture
async def make_mesh():
    """Makes meshes that listen and maintain their connections."""
    log = EventLogger("test", os.open(os.devnull, os.O_WRONLY))
    tasks, servers, meshes = [], [], []

    async def make(host: str, domain: str) -> Mesh:
        async def run(call):
            return CallResult(Outcome.NOT_RUN)

        mesh = Mesh(
            settings(host, domain),
            NodeRecord(f"{host}:{PORT}", domain, 1, 0, False, None),
            MoveTable(lambda _: None),
            run,
            lambda: LoadReport(0, 0, 0.0, 0.0),
            log,
            Metrics(),
        )
        servers.append(await mesh.listen(Address(host, PORT)))
        tasks.append(asyncio.create_task(mesh.run()))
        meshes.append(mesh)
        return mesh

    yield make
    for task in tasks:
        task.cancel()
    for mesh in meshes:
        mesh.reset_links()
    for server in servers:
        server.close()


async def until(check):
    """Waits until a check holds; a timeout fails the test."""
    async with asyncio.timeout(10.0):
        while not check():
            await asyncio.sleep(0.01)


class TestMesh:
    """Announcements reach every node, whenever they are made."""

    async def test_both_nodes_know_each_other(self, make_mesh):
        """Guards against a node that is known to only one of the two."""
        first = await make_mesh("127.23.0.1", "a")
        second = await make_mesh("127.23.0.2", "b")
        first.apply_records([second.membership.own.record])
        await until(lambda: len(second.membership.other_peers()) == 1)
        await until(lambda: second.membership.other_peers()[0].connected)
        await until(lambda: first.membership.other_peers()[0].connected)

    async def test_a_change_during_the_handshake_is_not_lost(self, make_mesh):
        """Guards against a change that some node never receives."""
        first = await make_mesh("127.23.0.5", "a")
        second = await make_mesh("127.23.0.6", "b")
        handle_hello = second._handle_hello

        def handle_hello_late(connection, message):
            asyncio.get_running_loop().call_later(
                0.1, handle_hello, connection, message
            )

        second._handle_hello = handle_hello_late
        second.apply_records([first.membership.own.record])
        await asyncio.sleep(0.05)
        # The welcome of first carried its old record, and its hello with the
        # same record has not been handled yet.
        first.announce(instance("s"), False)
        await until(lambda: second.membership.other_peers())
        peer = second.membership.other_peers()[0]
        await until(lambda: peer.record.instance is not None)

    async def test_a_restarted_node_replaces_its_record(self, make_mesh):
        """Guards against a node whose clock was stepped back on a restart."""
        first = await make_mesh("127.23.0.3", "a")
        second = await make_mesh("127.23.0.4", "a")
        own = second.membership.own.record
        later = NodeRecord(
            own.address, "a", 99, 5, False, instance("127.23.0.4")
        )
        first.apply_records([later])
        await until(lambda: first.membership.other_peers()[0].connected)
        record = first.membership.other_peers()[0].record
        await until(
            lambda: first.membership.other_peers()[0].record.instance is None
        )
        assert record.address == own.address
