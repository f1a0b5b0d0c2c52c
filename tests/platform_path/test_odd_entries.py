"""Tests of entries that another writer leaves in the store."""

import msgspec
import pytest
from vanillamast_sidecar.membership.instance_record import InstanceRecord
from vanillamast_sidecar.membership.node_record import NodeRecord
from vanillamast_testing.emulator import EmulatedPlatform
from vanillamast_testing.emulator.machine import PORTS

from tests.platform_path.fleet_checks import publish_route, until

NETWORK = "127.32"
NODES_TOPIC = "keyed.vanillamast-nodes"
DEPTH = 100_000
NESTED_JSON = b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
NESTED_MSGPACK = b"\x91" * DEPTH + b"\x01"
# Lower than all addresses of the fleet, so that they are preferred as hubs and
# as drivers of moves.
FIRST_HOST = f"{NETWORK}.0.1"
INSTANCE = InstanceRecord(
    "i-odd", 1, 1, "browse", "v1", 9, True, False, 0.0, "10.0.0.1:80"
)
DEFECTS = ("node.task_failed", "node.unhandled", "operator.reader_failed")


def node(address: str, **changes: object) -> tuple[str, bytes]:
    """Returns key and value of a record in the list of nodes."""
    record = NodeRecord(address, "z0", 1, 0, False, None)
    record = msgspec.structs.replace(record, **changes)
    return address, msgspec.msgpack.encode(record)


ODD_NODES = {
    "port out of range": node(f"{FIRST_HOST}:99999", instance=INSTANCE),
    "no port": node(FIRST_HOST),
    "name in place of an address": node("!host.example:80"),
    "incarnation too large": node(
        f"{NETWORK}.1.1:{PORTS['inbound']}", incarnation=2**64 - 1
    ),
    "slots too large": node(
        f"{FIRST_HOST}:81",
        instance=msgspec.structs.replace(INSTANCE, slots=2**60),
    ),
    "nested": (f"{FIRST_HOST}:82", NESTED_MSGPACK),
    "nested in an unknown field": (
        f"{FIRST_HOST}:83",
        # An array of eight elements, one more than a record has.
        b"\x98"
        + msgspec.msgpack.encode(("a", "z0", 1, 0, False, None, False))[1:]
        + NESTED_MSGPACK,
    ),
    "no record": (f"{FIRST_HOST}:84", b"\xc1"),
    "empty": (f"{FIRST_HOST}:85", b"\x00"),
}
ODD_OPERATOR_ENTRIES = [
    ("config", NESTED_JSON),
    ("config", b'{"version":1' + b"0" * 30 + b',"resources":[]}'),
    ("rollout/browse", NESTED_JSON),
    ("rollout/browse", b'{"service":"browse","to":"v2","over_s":1e400}'),
    ("else", NESTED_JSON),
]
ODD_STATES = [
    ("rollout/browse", NESTED_JSON),
    ("rollout/page", b'{"state":"active","to":"v2","order":1' + b"0" * 30),
]


@pytest.fixture
async def fleet(tmp_path):
    """Starts a store with a configuration and no machine."""
    async with EmulatedPlatform(tmp_path, NETWORK) as platform:
        platform.operator.set_route("page", "browse")
        await platform.operator.publish()
        yield platform


async def start(fleet):
    """Starts two machines in one failure domain and one in another."""
    for zone in (0, 0, 1):
        await fleet.add_machine(zone, "browse")
    await fleet.wait_until_ready()


def defects(fleet):
    """Returns the log lines that report a defect of a node."""
    return [
        line
        for name in fleet.machines
        for line in fleet.read_log(name).splitlines()
        if any(f'"kind":"{kind}"' in line for kind in DEFECTS)
    ]


class TestListOfNodes:
    """An odd entry names no node, and the others hold."""

    @pytest.mark.parametrize("name", ODD_NODES)
    async def test_nodes_start_beside_it_and_follow_changes(self, fleet, name):
        """Guards against nodes that stop to read the list or to connect."""
        await fleet.store.put(NODES_TOPIC, *ODD_NODES[name])
        await start(fleet)
        await publish_route(fleet, "tags")
        assert defects(fleet) == []
        calls = fleet.store.calls["/api/log-newest"]
        # A start and the first change cost a few calls for each node.
        assert calls <= 6 * len(fleet.machines)
        assert all(m.process.running for m in fleet.machines.values())


class TestOperatorTopics:
    """An odd entry changes nothing, and later ones are applied."""

    async def test_entries_beside_a_running_fleet(self, fleet):
        """Guards against readers that stop or start over for ever."""
        await start(fleet)
        for entry in ODD_OPERATOR_ENTRIES:
            await fleet.store.put("keyed.op", *entry)
        for entry in ODD_STATES:
            await fleet.store.put("keyed.status", *entry)
        await publish_route(fleet, "tags")
        assert defects(fleet) == []

    async def test_a_restart_after_them(self, fleet):
        """Guards against nodes that never get a configuration again."""
        for entry in ODD_OPERATOR_ENTRIES[2:]:
            await fleet.store.put("keyed.op", *entry)
        for entry in ODD_STATES:
            await fleet.store.put("keyed.status", *entry)
        await start(fleet)
        machine = fleet.machines["m1"]
        await machine.process.kill()
        await machine.process.start()

        async def served():
            return (await fleet.caller.send(machine, "/page/1")).status == 200

        await until(served)
        assert defects(fleet) == []


class TestHeartbeats:
    """An odd heartbeat is refused, and the server's own ones hold."""

    async def test_a_nested_heartbeat(self, fleet):
        """Guards against an error of an unexpected type in the listener."""
        await start(fleet)
        backend = fleet.backends["m1"]
        nested = msgspec.Raw(b"[" * DEPTH + b"]" * DEPTH)
        assert not await backend.heartbeat(other=nested)
        assert (
            await fleet.caller.send(fleet.machines["m1"], "/page/1")
        ).status == 200
        assert defects(fleet) == []
