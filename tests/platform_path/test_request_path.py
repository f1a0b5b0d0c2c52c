"""Tests of the request path: real nodes on the emulated platform."""

import asyncio
import json
import signal
import time

import aiohttp
import pytest
from vanillamast_testing.emulator import EmulatedPlatform


@pytest.fixture
async def fleet(tmp_path):
    """Starts two services on four machines in two failure domains."""
    async with EmulatedPlatform(tmp_path, "127.21") as platform:
        platform.operator.set_route("page", "browse")
        platform.operator.set_route("post", "publish", kind="non_idempotent")
        await platform.operator.publish()
        for zone in (0, 1):
            await platform.add_machine(zone, "browse")
            await platform.add_machine(zone, "publish")
        await platform.wait_until_ready()
        yield platform


class TestRequestPath:
    """Requests of callers, as callers and backend servers see them."""

    async def test_every_machine_serves_every_route(self, fleet):
        """Guards against nodes that reach only their local server."""
        for machine in fleet.machines.values():
            for path in ("/page/1?x=1", "/post/1"):
                answer = await fleet.caller.send(machine, path)
                assert answer.status == 200
                assert answer.signature
                assert answer.echoed_id == answer.request_id
                assert f"GET {path} 0" in answer.body

    async def test_servers_get_the_request_unchanged(self, fleet):
        """Guards against changed bodies and a forged caller field."""
        body = bytes(range(256)) * 40
        answer = await fleet.caller.send(
            fleet.machines["m1"],
            "/post/abc",
            "POST",
            body,
            deadline_ms=1500,
            headers={"X-Vanillamast-Caller": "forged"},
        )
        assert answer.status == 200
        (run,) = [
            run
            for backend in fleet.backends.values()
            for run in backend.runs
            if run.request_id == answer.request_id
        ]
        assert (run.method, run.path, run.body) == ("POST", "/post/abc", body)
        assert run.caller == "browse"
        assert 0 < run.deadline_ms <= 1500

    async def test_an_unknown_route_is_not_found(self, fleet):
        """Guards against a request that runs without a route."""
        answer = await fleet.caller.send(fleet.machines["m1"], "/none/1")
        assert answer.status == 404

    async def test_requests_stay_in_their_domain(self, fleet):
        """Guards against cross-domain traffic under low load."""
        for _ in range(30):
            await fleet.caller.send(fleet.machines["m2"], "/page/1")
        assert len(fleet.backends["m1"].runs) == 30

    async def test_the_limit_of_a_server_is_kept(self, fleet):
        """Guards against more running requests than a server has slots."""
        for backend in fleet.backends.values():
            backend.work_s = 0.05
        answers = await asyncio.gather(
            *(
                fleet.caller.send(
                    list(fleet.machines.values())[n % 4], "/page/1"
                )
                for n in range(160)
            )
        )
        statuses = {answer.status for answer in answers}
        assert statuses <= {200, 503}
        for backend in fleet.backends.values():
            assert backend.most_running <= backend.slots
        for answer in answers:
            if answer.status == 503:
                assert answer.retry_after_s is not None
                assert not self._ran(fleet, answer.request_id)

    def _ran(self, fleet, request_id):
        return any(
            run.request_id == request_id
            for backend in fleet.backends.values()
            for run in backend.runs
        )

    async def test_a_deregistered_server_gets_no_requests(self, fleet):
        """Guards against requests after an acknowledged deregistration.

        A heartbeat that the server sent before may arrive after it.
        """
        leaving = fleet.backends["m1"]

        async def load():
            for number in range(150):
                machine = list(fleet.machines.values())[number % 4]
                answer = await fleet.caller.send(machine, "/page/1")
                assert answer.status == 200

        task = asyncio.create_task(load())
        await asyncio.sleep(0.2)
        assert await leaving.drain()
        acknowledged = leaving.leave_acknowledged_at
        # A heartbeat sent before the deregistration arrives late.
        leaving.state = "ready"
        await leaving.heartbeat(sequence=1)
        await task
        late = [
            run for run in leaving.runs if run.arrived_at > acknowledged + 0.05
        ]
        assert late == []

    async def test_a_malformed_response_is_never_forwarded(self, fleet):
        """Guards against a malformed body with a success status."""
        for backend in fleet.backends.values():
            backend.truncate_every = 3
        for number in range(40):
            answer = await fleet.caller.send(fleet.machines["m1"], "/page/1")
            assert answer.status in (200, 502), number
            if answer.status == 200:
                assert answer.body.startswith("i-")

    async def test_a_post_runs_once_when_nodes_are_killed(self, fleet):
        """Guards against non-idempotent requests that run twice."""
        for backend in fleet.backends.values():
            backend.work_s = 0.05
        sends = []
        for number in range(80):
            machine = fleet.machines["m1" if number % 2 else "m3"]
            sends.append(
                asyncio.create_task(
                    fleet.caller.send(machine, "/post/1", "POST", b"x")
                )
            )
            if number == 40:
                await fleet.machines["m2"].process.kill()
            await asyncio.sleep(0.01)
        answers = await asyncio.gather(*sends)
        runs = [
            run.request_id
            for backend in fleet.backends.values()
            for run in backend.runs
        ]
        assert len(runs) == len(set(runs))
        for answer in answers:
            if answer.status in (429, 503):
                assert answer.request_id not in runs
        assert sum(answer.status == 200 for answer in answers) >= 60

    async def test_a_request_ends_when_its_caller_disconnects(self, fleet):
        """Guards against servers that run requests without a caller."""
        for backend in fleet.backends.values():
            backend.work_s = 5.0
        timeout = aiohttp.ClientTimeout(total=0.3)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            with pytest.raises(TimeoutError):
                await session.get(
                    fleet.machines["m2"].url("outbound", "/page/1"),
                    headers={"Host": "tintero.example"},
                )
        await asyncio.sleep(0.4)
        assert sum(b.running for b in fleet.backends.values()) == 0

    async def test_a_planned_stop_interrupts_no_request(self, fleet):
        """Guards against responses lost in a planned stop."""
        for backend in fleet.backends.values():
            backend.work_s = 0.2
        stopped = fleet.machines["m3"]
        sends = [
            asyncio.create_task(fleet.caller.send(stopped, "/page/1"))
            for _ in range(3)
        ]
        await asyncio.sleep(0.05)
        stopped.process.send_signal(signal.SIGTERM)
        answers = await asyncio.gather(*sends)
        assert [answer.status for answer in answers] == [200] * 3
        while await fleet.is_ready(stopped):
            await asyncio.sleep(0.05)
        # The platform checks readiness until no more callers come.
        deadline = time.monotonic() + 10.0
        while stopped.process.running and time.monotonic() < deadline:
            assert not await fleet.is_ready(stopped)
            await asyncio.sleep(0.1)
        assert not stopped.process.running

    async def test_logs_are_json_lines_with_the_request_id(self, fleet):
        """Guards against requests that cannot be found in the logs."""
        answer = await fleet.caller.send(fleet.machines["m1"], "/page/1")
        await asyncio.sleep(0.6)
        lines = [json.loads(x) for x in fleet.read_log("m1").splitlines()]
        kinds = {line["kind"] for line in lines}
        assert {"node.started", "config.applied", "nodes.read"} <= kinds
        attempts = [
            line for line in lines if line.get("request") == answer.request_id
        ]
        assert attempts
        assert attempts[0]["outcome"] == "answered"

    async def test_metrics_are_served(self, fleet):
        """Guards against missing metrics."""
        await fleet.caller.send(fleet.machines["m1"], "/page/1")
        async with (
            aiohttp.ClientSession() as session,
            session.get(
                fleet.machines["m1"].url("metrics", "/metrics")
            ) as answer,
        ):
            text = await answer.text()
        assert 'vanillamast_requests_total{outcome="answered"}' in text
        assert "vanillamast_request_duration_seconds_count" in text
        assert "# TYPE vanillamast_requests_total counter" in text

    @pytest.mark.parametrize("signalled", [False, True])
    async def test_changed_settings_are_applied(self, fleet, signalled):
        """Guards against a node that keeps outdated settings."""
        machine = fleet.machines["m1"]
        text = machine.settings.read_text()
        changed = text.replace('service = "browse"', 'service = "other"')
        assert changed != text
        machine.settings.write_text(changed)
        if signalled:
            machine.process.send_signal(signal.SIGHUP)
        callers = set()
        async with asyncio.timeout(10.0):
            while "other" not in callers:
                answer = await fleet.caller.send(machine, "/page/1")
                assert answer.status == 200
                callers = {
                    run.caller
                    for backend in fleet.backends.values()
                    for run in backend.runs
                }
                await asyncio.sleep(0.05)
