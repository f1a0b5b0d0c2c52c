"""Tests of what servers say of themselves in their responses."""

import asyncio
import signal
import time

import pytest
from vanillamast_testing.emulator import EmulatedPlatform

from tests.platform_path.fleet_checks import until

LIMIT_PER_S = 8.0
# More than the limited server may get, and as much as the other one can take.
REQUESTS_PER_S = 100.0
# Time in which a limit takes effect, and the longest span that is counted.
SETTLING_S = 1.0
WINDOW_S = 2.0
# Time in which a leaving server's last requests arrive.
LAST_REQUESTS_S = 0.5


@pytest.fixture
async def fleet(tmp_path):
    """Starts two servers of a service in two failure domains."""
    async with EmulatedPlatform(tmp_path, "127.29") as platform:
        platform.operator.set_route("page", "browse")
        await platform.operator.publish()
        await platform.add_machine(0, "browse")
        await platform.add_machine(0, "publish")
        await platform.add_machine(1, "browse")
        await platform.wait_until_ready()
        yield platform


async def send_for(fleet, names, seconds):
    """Sends requests at a constant rate; returns the answers."""
    machines = [fleet.machines[name] for name in names]
    sends = []
    started = time.monotonic()
    while time.monotonic() < started + seconds:
        machine = machines[len(sends) % len(machines)]
        sends.append(asyncio.create_task(fleet.caller.send(machine, "/page/1")))
        due = started + len(sends) / REQUESTS_PER_S
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    return await asyncio.gather(*sends)


def most_in_window(arrivals):
    """Returns the most arrivals within `WINDOW_S`."""
    return max(
        (
            sum(first <= at < first + WINDOW_S for at in arrivals)
            for first in arrivals
        ),
        default=0,
    )


class TestRateLimit:
    """A server that names a limit gets no more requests than that."""

    ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5

    async def test_the_rate_of_all_nodes_together_is_limited(self, fleet):
        """Guards against nodes that ignore the limit that a server names."""
        limited = fleet.backends["m1"]
        limited.rate_limit = LIMIT_PER_S
        started = time.monotonic()
        answers = await send_for(fleet, ["m1", "m2", "m3"], 4.0)
        late = [at for at in limited.arrivals if at > started + SETTLING_S]
        assert 0 < most_in_window(late) <= self.ALLOWED
        assert {answer.status for answer in answers} <= {200, 503}
        # The other server has room for what the limited one does not take.
        served = sum(answer.status == 200 for answer in answers)
        assert served >= 0.9 * len(answers)

    async def test_a_lifted_limit_is_forgotten(self, fleet):
        """Guards against a server that is held back for ever."""
        limited = fleet.backends["m1"]
        limited.rate_limit = LIMIT_PER_S
        await send_for(fleet, ["m1"], 2.0)
        limited.rate_limit = None
        await send_for(fleet, ["m1"], 2.0)
        limited.arrivals.clear()
        await send_for(fleet, ["m1"], WINDOW_S)
        assert len(limited.arrivals) > self.ALLOWED

    async def test_a_restarted_node_keeps_the_limit(self, fleet):
        """Guards against a limit that a node forgets when it restarts."""
        limited = fleet.backends["m1"]
        limited.rate_limit = LIMIT_PER_S
        await send_for(fleet, ["m2"], 1.0)
        machine = fleet.machines["m1"]
        await machine.process.kill()
        limited.arrivals.clear()
        # Its requests are long, so that no response names the limit again.
        limited.work_s = 60.0
        limited.slots = 64
        await machine.process.start()

        async def ready():
            return await fleet.is_ready(machine)

        await until(ready)
        await asyncio.sleep(3 * limited.heartbeat_s)
        await send_for(fleet, ["m1", "m2"], WINDOW_S)
        assert 0 < most_in_window(limited.arrivals) <= self.ALLOWED


class TestLeaving:
    """A server whose responses say that it leaves gets no more requests."""

    async def leave(self, fleet):
        """Sends requests until an answer has said that the server leaves."""
        leaving = fleet.backends["m1"]
        leaving.names_leaving = True
        await send_for(fleet, ["m1", "m2"], 1.0)
        await asyncio.sleep(LAST_REQUESTS_S)
        leaving.arrivals.clear()
        return leaving

    async def test_its_requests_go_to_another_server(self, fleet):
        """Guards against requests to a server that says that it leaves."""
        leaving = await self.leave(fleet)
        answers = await send_for(fleet, ["m1", "m2", "m3"], 1.0)
        assert leaving.arrivals == []
        served = sum(answer.status == 200 for answer in answers)
        assert served >= 0.9 * len(answers)

    @pytest.mark.parametrize("kind", [signal.SIGTERM, signal.SIGKILL])
    async def test_a_restarted_node_does_not_use_it(self, fleet, kind):
        """Guards against a server that is in use again after a restart."""
        leaving = await self.leave(fleet)
        machine = fleet.machines["m1"]
        machine.process.send_signal(kind)

        async def stopped():
            await fleet.is_ready(machine)
            return not machine.process.running

        await until(stopped)
        await machine.process.start()

        async def ready():
            return await fleet.is_ready(machine)

        await until(ready)
        await send_for(fleet, ["m1", "m2"], 4 * leaving.heartbeat_s)
        assert leaving.arrivals == []
