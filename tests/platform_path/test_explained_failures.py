"""Tests of the `trace` command on the logs of real nodes."""

import io
import json
import time

import pytest
from vanillamast_cli import CliSettings, Executor, ExitStatus
from vanillamast_testing.emulator import EmulatedPlatform

from tests.platform_path.fleet_checks import until

LATE_S = 1.0  # Above the latency objective of the routes, 0.8 s.


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
    """Returns the output of the command for a request."""
    files = [str(m.process.log_path) for m in fleet.machines.values()]
    out = io.StringIO()
    executor = Executor(
        CliSettings(("127.0.0.1:1",), "json"), out, io.StringIO()
    )
    line = f"trace {request_id} in {' '.join(files)}"
    found = None

    async def run_trace():
        nonlocal found
        out.seek(0)
        out.truncate()
        if await executor.execute(line) is not ExitStatus.DONE:
            return False
        found = json.loads(out.getvalue())
        return True

    await until(run_trace)
    return found


class TestExplainedFailures:
    """The command finds the cause of a failure by the request's id."""

    async def test_refused(self, fleet):
        """Guards against a refusal without a reason in the logs."""
        answer = await fleet.caller.send(fleet.machines["m1"], "/gone/1")
        assert answer.status == 503
        trace_output = await trace(fleet, answer.request_id)
        assert "503: no_server" in trace_output["verdict"]

    async def test_unknown_outcome(self, fleet):
        """Guards against a 502 response whose server cannot be identified."""
        fleet.backends["m2"].truncate_every = 1
        answer = await fleet.caller.send(
            fleet.machines["m1"], "/post/1", "POST"
        )
        assert answer.status == 502
        trace_output = await trace(fleet, answer.request_id)
        assert "502: connection_lost" in trace_output["verdict"]
        server = [
            x for x in trace_output["lines"] if x["kind"] == "server.failed"
        ]
        assert [line["instance"] for line in server] == ["i-m2"]

    async def test_late(self, fleet):
        """Guards against a late response that is not recognized as late."""
        for name in ("m1", "m3"):
            fleet.backends[name].work_s = LATE_S
        started = time.monotonic()
        answer = await fleet.caller.send(fleet.machines["m2"], "/page/1")
        assert answer.status == 200
        assert time.monotonic() - started >= LATE_S
        trace_output = await trace(fleet, answer.request_id)
        assert "ended by i-m" in trace_output["verdict"]
        attempt = trace_output["lines"][-1]
        assert attempt["took_s"] >= LATE_S
        assert attempt["expected_wait_s"] == 0.0
