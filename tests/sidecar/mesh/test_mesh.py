"""Tests of the messages between nodes, over loopback connections."""

import asyncio
import os

import msgspec
import pytest
from vanillamast_sidecar.admission.call_result import CallResult
from vanillamast_sidecar.admission.outcome import Outcome
from vanillamast_sidecar.errors import FrameError
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.load_report import LoadReport
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_sidecar.mesh.mesh import Mesh
from vanillamast_sidecar.mesh.messages import (
    FetchOperator,
    MoveAnnouncement,
    OperatorState,
)
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.applied_operator_state import (
    AppliedOperatorState,
)
from vanillamast_sidecar.operator_state.evacuation import Evacuation
from vanillamast_sidecar.operator_state.store import OperatorUpdate
from vanillamast_sidecar.rollouts.move_state import MoveState
from vanillamast_sidecar.rollouts.move_status import MoveStatus
from vanillamast_sidecar.rollouts.move_table import MoveTable
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
        FieldNames(*[b"x"] * 8),
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
        server = await mesh.listen(Address(host, PORT))
        task = asyncio.create_task(mesh.run())

        def stop() -> None:
            """Ends the mesh as a killed process would."""
            task.cancel()
            server.close()
            mesh.reset_links()

        servers.append(server)
        tasks.append(task)
        meshes.append(mesh)
        mesh.stop_for_test = stop
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
    async with asyncio.timeout(20.0):
        while not check():
            await asyncio.sleep(0.01)


def linked(mesh: Mesh) -> set[str]:
    """Returns the nodes to which a mesh has opened a connection."""
    return set(mesh.links.linked)


def instances(mesh: Mesh) -> set[str]:
    """Returns the ids of the servers that a mesh knows."""
    return {
        peer.record.instance.id
        for peer in mesh.membership.other_peers()
        if peer.record.instance is not None
    }


def operator_state(mesh: Mesh) -> AppliedOperatorState:
    """Returns the operator's state of a mesh, without a configuration."""
    state = AppliedOperatorState(
        mesh,
        mesh.moves,
        lambda _: None,
        lambda _: None,
        mesh.log,
        mesh.metrics,
    )
    mesh.on_operator_state = state.apply_peer_state
    return state


class TestOwnRecord:
    """What a node announces of itself."""

    async def test_a_record_that_cannot_be_sent_is_not_kept(self, make_mesh):
        """Guards against a value that spoils every later message."""
        mesh = await make_mesh("127.24.9.1", "a")
        mesh.announce(instance("127.24.9.1"), False)
        before = mesh.membership.own.record
        wild = msgspec.structs.replace(instance("127.24.9.1"), born_ms=10**26)
        with pytest.raises(FrameError):
            mesh.announce(wild, False)
        assert mesh.membership.own.record == before


class TestHubs:
    """What a fleet of four nodes in each of three failure domains does."""

    @pytest.fixture
    async def fleet(self, make_mesh):
        """Starts twelve meshes that all know each other's address."""
        meshes = [
            await make_mesh(f"127.24.{number}.{position}", domain)
            for number, domain in enumerate("abc")
            for position in range(1, 5)
        ]
        records = [mesh.membership.own.record for mesh in meshes]
        for mesh in meshes:
            mesh.apply_listed_nodes(records)
        await until(lambda: all(len(m.hubs) > 0 for m in meshes))
        await until(
            lambda: all(hub.connected for mesh in meshes for hub in mesh.hubs)
        )
        return meshes

    def announce_all(self, meshes):
        """Announces a server of each node."""
        for mesh in meshes:
            mesh.announce(instance(mesh.settings.node), False)

    async def test_records_reach_every_node(self, fleet):
        """Guards against nodes that never learn of a server."""
        self.announce_all(fleet)
        await until(lambda: all(len(instances(m)) == 11 for m in fleet))

    async def test_nodes_at_rest_are_connected_to_hubs_only(self, fleet):
        """Guards against connections that grow with the fleet."""
        self.announce_all(fleet)
        await until(lambda: all(len(instances(m)) == 11 for m in fleet))
        for mesh in fleet:
            if not mesh.is_hub:
                hubs = {hub.record.address for hub in mesh.hubs}
                assert linked(mesh) == hubs

    async def test_loads_reach_the_nodes_of_the_domain(self, fleet):
        """Guards against placing by loads that are never updated."""
        fleet[3].get_load = lambda: LoadReport(5, 3, 0.2, 0.0)
        address = fleet[3].membership.own.record.address
        await until(
            lambda: all(
                mesh.membership.peers[address].load.running == 5
                for mesh in fleet[:3]
            )
        )

    async def test_records_reach_every_node_without_the_first_hubs(self, fleet):
        """Guards against a failure domain that is mute when its hubs die."""
        for mesh in fleet[:2]:
            mesh.stop_for_test()
        self.announce_all(fleet[2:])
        await until(lambda: all(len(instances(m)) == 9 for m in fleet[2:]))

    async def test_a_dead_node_is_out_of_use_everywhere(self, fleet):
        """Guards against requests to a node that only its hubs know dead."""
        dead = fleet[3]
        dead.stop_for_test()
        address = dead.membership.own.record.address
        await until(
            lambda: all(
                not mesh.membership.peers[address].reachable
                for mesh in fleet
                if mesh is not dead
            )
        )

    async def test_a_move_status_reaches_every_node(self, fleet):
        """Guards against nodes that keep using a version that was reverted."""
        status = MoveStatus("browse", 1, "v2", MoveState.REVERTED, 0.0, 1.0)
        fleet[6].broadcast(MoveAnnouncement(status))
        others = [mesh for mesh in fleet if mesh is not fleet[6]]
        await until(
            lambda: all(mesh.moves.statuses() == [status] for mesh in others)
        )

    async def test_an_evacuation_reaches_every_node(self, fleet, make_mesh):
        """Guards against nodes without the store that miss an evacuation."""
        states = [operator_state(mesh) for mesh in fleet]
        record = Evacuation("a", True, 3)
        # A node that is no hub, and the only one that reaches the store.
        states[6].apply_update(OperatorUpdate(4, None, [], [record]))

        def known():
            return all(s.evacuations.is_evacuated("a") for s in states)

        await until(known)
        late = await make_mesh("127.24.2.9", "c")
        states.append(operator_state(late))
        late.apply_listed_nodes([m.membership.own.record for m in fleet])
        await until(known)

    async def test_two_drivers_cause_no_storm(self, fleet):
        """Guards against statuses that hubs send each other for ever."""
        sent = []
        for mesh in fleet:
            pass_on = mesh.duty.pass_on

            def count(frame, *args, pass_on=pass_on, **fields):
                sent.append(frame)
                pass_on(frame, *args, **fields)

            mesh.duty.pass_on = count
        reports = len(fleet) * 20

        def announce(number, state, share, elapsed_s, recorded=False):
            status = MoveStatus(
                "browse", 1, "v2", state, share, elapsed_s, recorded
            )
            fleet[number].moves.apply_status(status, 0.0)
            fleet[number].broadcast(MoveAnnouncement(status))

        announce(2, MoveState.ACTIVE, 0.3, 1.0)
        announce(6, MoveState.ACTIVE, 0.6, 1.0)
        announce(10, MoveState.ACTIVE, 0.3, 1.0)
        await asyncio.sleep(0.5)
        announce(2, MoveState.REVERTED, 0.0, 1.5, True)
        await asyncio.sleep(0.3)
        # A driver that has not heard of the end.
        announce(6, MoveState.ACTIVE, 0.6, 3.0)
        await asyncio.sleep(0.7)
        assert len(sent) < reports
        assert {mesh.moves.by_service["browse"].share for mesh in fleet} == {0}

    async def test_a_node_that_missed_a_record_gets_it(self, fleet):
        """Guards against a lost message that leaves a record out for ever."""
        hidden = fleet[7]
        revised = msgspec.structs.replace(
            hidden.membership.own.record,
            revision=5,
            instance=instance("hidden"),
        )
        # Only a hub of the domain knows the record.
        fleet[4].membership.apply_record(revised, False, 0.0)
        hidden.membership.set_own(revised)
        await until(
            lambda: all(
                "i-hidden" in instances(mesh)
                for mesh in fleet
                if mesh is not hidden
            )
        )


class TestOperatorState:
    """Nodes fetch the operator's state from each other."""

    async def test_a_repeated_question_gets_no_second_copy(self, make_mesh):
        """Guards against copies that pile up on the slow link of a hub."""
        hub = await make_mesh("127.23.0.8", "a")
        node = await make_mesh("127.23.0.9", "a")
        node.apply_records([hub.membership.own.record])
        await until(lambda: node.membership.other_peers()[0].connected)
        received = []
        node.on_operator_state = received.append
        for offset in (4, 5):
            hub.operator_offset = offset
            state = OperatorState(offset, b"x" * 1000, [], [])
            hub.get_operator_state = lambda state=state: state
            for _ in range(5):
                node.send(hub.membership.own.record.address, FetchOperator())
            await until(
                lambda at=offset: received and received[-1].offset == at
            )
        # An answer of the same connection shows that all were handled.
        assert [state.offset for state in received] == [4, 5]


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

    async def test_a_late_copy_of_the_own_record_changes_nothing(
        self, make_mesh
    ):
        """Guards against a node that announces itself again and again."""
        mesh = await make_mesh("127.23.0.7", "a")
        old = mesh.membership.own.record
        current = mesh.announce(instance("s"), False)
        mesh.apply_records([old, current])
        assert mesh.membership.own.record == current

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
