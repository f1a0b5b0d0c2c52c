"""Failures of real nodes, explained from their logs by the command."""

import io
import json
import time

import pytest
from vanillamast_cli import CliSettings, Executor, ExitStatus
from vanillamast_testing.emulator import EmulatedPlatform

from tests.platform_path.fleet_checks import until

LATE_S = 1.0  # Above the objective of the routes, 0.8 s.


@pytest.fixture
async def fleet(tmp_path):
    """Starts two services on three machines."""
    async with EmulatedPlatform(tmp_path, "127.26") as platform:
        platform.operator.set_route("page", "browse")
        platform.operator.set_route("gone", "nobody")
        platform.operator.set_route("post", "publish", kind="non_idempotent")
        await platform.operator.publish()
        await platform.add_machine(0, "browse")
        await platform.add_machine(0, "publish")
        await platform.add_machine(1, "browse")
        await platform.wait_until_ready()
        yield platform


async def trace(fleet, request_id):
    """Returns what the command tells of a request."""
    files = [str(m.process.log_path) for m in fleet.machines.values()]
    out = io.StringIO()
    executor = Executor(
        CliSettings(("127.0.0.1:1",), "json"), out, io.StringIO()
    )
    line = f"trace {request_id} in {' '.join(files)}"
    found = None

    async def written():
        nonlocal found
        out.seek(0)
        out.truncate()
        if await executor.execute(line) is not ExitStatus.DONE:
            return False
        found = json.loads(out.getvalue())
        return True

    await until(written)
    return found


class TestExplainedFailures:
    """From the id of a failed request to its cause."""

    async def test_refused(self, fleet):
        """Guards against a refusal without a reason in the logs."""
        answer = await fleet.caller.send(fleet.machines["m1"], "/gone/1")
        assert answer.status == 503
        told = await trace(fleet, answer.request_id)
        assert "503: no_server" in told["verdict"]

    async def test_unclear_outcome(self, fleet):
        """Guards against a 502 whose server cannot be found."""
        fleet.backends["m2"].truncate_every = 1
        answer = await fleet.caller.send(
            fleet.machines["m1"], "/post/1", "POST"
        )
        assert answer.status == 502
        told = await trace(fleet, answer.request_id)
        assert "502: connection_lost" in told["verdict"]
        server = [x for x in told["lines"] if x["kind"] == "server.failed"]
        assert [line["instance"] for line in server] == ["i-m2"]

    async def test_late(self, fleet):
        """Guards against a late answer that looks like any other."""
        for name in ("m1", "m3"):
            fleet.backends[name].work_s = LATE_S
        started = time.monotonic()
        answer = await fleet.caller.send(fleet.machines["m2"], "/page/1")
        assert answer.status == 200
        assert time.monotonic() - started >= LATE_S
        told = await trace(fleet, answer.request_id)
        assert "ended by i-m" in told["verdict"]
        attempt = told["lines"][-1]
        assert attempt["took_s"] >= LATE_S
        assert attempt["expected_wait_s"] == 0.0
