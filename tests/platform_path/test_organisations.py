"""Tests of API keys with nodes on the emulated platform."""

import asyncio

import pytest
from vanillamast_testing.emulator import EmulatedPlatform
from vanillamast_testing.emulator.operator import HOST

from tests.platform_path.fleet_checks import SHORTEST_POLL_S, until

APPLY_BOUND_S = 2.5  # Stated bound of the deployments.
DOMAINS = 2
PROBES = ("acme", "bolt", "")  # Keys are `KEY-` and the organisation's name.


@pytest.fixture
async def fleet(tmp_path):
    """Starts three machines in two domains; only the first one has `browse`."""
    async with EmulatedPlatform(tmp_path, "127.42") as platform:
        operator = platform.operator
        operator.set_route("page", "browse")
        operator.set_route("open", "browse", no_auth=True)
        operator.set_organisation("acme", "KEY-acme", priority=0)
        operator.set_organisation("bolt", "KEY-bolt")
        await operator.publish()
        for zone, service in ((0, "browse"), (0, "publish"), (1, "publish")):
            await platform.add_machine(zone, service)
        await platform.wait_until_ready()
        yield platform


async def statuses(fleet, path="/page/1"):
    """Returns the statuses of requests with each key, by machine."""
    return {
        name: [
            (
                await fleet.caller.send(
                    machine, path, key=f"KEY-{probe}" if probe else ""
                )
            ).status
            for probe in PROBES
        ]
        for name, machine in fleet.machines.items()
        if machine.process.running
    }


async def until_everywhere(fleet, expected):
    """Waits until each node answers the probes as expected."""

    async def holds():
        return set(map(tuple, (await statuses(fleet)).values())) == {expected}

    await until(holds)


def keys_in_logs(fleet):
    """Returns the lines of all nodes' logs that hold a key."""
    return [
        line
        for name in fleet.machines
        for line in fleet.read_log(name).splitlines()
        if "KEY-" in line
    ]


class TestKeys:
    """Who may send what, and what servers receive."""

    async def test_servers_get_the_organisation_and_never_the_key(self, fleet):
        """Guards against forwarded keys and forged organisations."""
        forged = {"X-Vanillamast-Tenant": "forged"}
        sent = {}
        for machine in fleet.machines.values():
            for path, key, expected in (
                ("/page/1", "KEY-acme", ["acme"]),
                ("/open/1", "KEY-bolt", ["bolt"]),
                ("/open/2", "KEY-none", []),
                ("/open/3", "", []),
            ):
                answer = await fleet.caller.send(
                    machine, path, key=key, headers=forged
                )
                assert answer.status == 200
                sent[answer.request_id] = expected
            refused = await fleet.caller.send(machine, "/page/1", key="KEY-x")
            assert (refused.status, refused.challenge) == (401, "Bearer")
            assert (await fleet.caller.send(machine, "/none/1")).status == 404
        runs = fleet.backends["m1"].runs
        assert {run.request_id: run.organisations for run in runs} == sent
        assert not any(run.authorizations for run in runs)
        await asyncio.sleep(0.5)
        assert keys_in_logs(fleet) == []

    async def test_a_removed_key_ends_in_time_everywhere(self, fleet):
        """Guards against a key that lives on in a connection or a node.

        The third node gets configurations from peers only, the second one is
        restarted while the key is removed.
        """
        fleet.block_store("m3")
        host = fleet.machines["m1"].host
        port = int(fleet.machines["m1"].url("outbound", "").rsplit(":", 1)[1])
        reader, writer = await asyncio.open_connection(host, port)
        head = f"GET /page/1 HTTP/1.1\r\nHost: {HOST}\r\n"
        request = f"{head}Authorization: Bearer KEY-acme\r\n\r\n".encode()
        writer.write(request)
        assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
        del fleet.operator.organisations["acme"]
        await fleet.operator.publish()
        restarted = fleet.machines["m2"].process
        await restarted.kill()
        await restarted.start()
        await asyncio.sleep(APPLY_BOUND_S)
        writer.write(request * 3)
        received = b""
        async with asyncio.timeout(5.0):
            while received.count(b"HTTP/1.1 401") < 3:
                received += await reader.read(65536)
        assert received.count(b"HTTP/1.1 401") == 3
        writer.close()
        found = await statuses(fleet)
        assert found["m1"] == found["m3"] == [401, 200, 401]
        assert found["m2"][0] in (401, 503)  # 503 until it is ready.
        await until_everywhere(fleet, (401, 200, 401))


class TestRefusedConfigurations:
    """A configuration in which two organisations share a key."""

    async def test_the_earlier_version_stays_in_force(self, fleet):
        """Guards against a fault that stops the nodes, also after a restart."""
        operator = fleet.operator
        operator.set_organisation("crow", "KEY-crow", "KEY-acme")
        await operator.publish()

        async def refused():
            line = fleet.last_log_line("m1", "operator.invalid")
            return line is not None and "acme" in line["error"]

        await until(refused)
        calls = fleet.store.calls["/api/log-read"]
        await asyncio.sleep(APPLY_BOUND_S)
        # The reader of each domain polls as usual.
        polls = DOMAINS * APPLY_BOUND_S / SHORTEST_POLL_S
        assert fleet.store.calls["/api/log-read"] - calls <= 3 + polls
        await until_everywhere(fleet, (200, 200, 401))
        for machine in fleet.machines.values():
            await machine.process.kill()
        for machine in fleet.machines.values():
            await machine.process.start()
        await until_everywhere(fleet, (200, 200, 401))
        del operator.organisations["acme"]
        operator.set_organisation("crow", "KEY-crow")
        await operator.publish()
        await until_everywhere(fleet, (401, 200, 401))
        assert keys_in_logs(fleet) == []
