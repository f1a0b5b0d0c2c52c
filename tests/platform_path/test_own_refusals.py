"""Tests of servers that run a request and answer as if they had not."""

import pytest
from vanillamast_testing.emulator import EmulatedPlatform

REQUESTS = 8


@pytest.fixture
async def fleet(tmp_path):
    """Starts a service of two servers, one of which fails what it runs."""
    async with EmulatedPlatform(tmp_path, "127.29") as platform:
        platform.operator.set_route("page", "browse")
        platform.operator.set_route("book", "browse", kind="non_idempotent")
        await platform.operator.publish()
        for zone in (0, 0):
            await platform.add_machine(zone, "browse")
        await platform.wait_until_ready()
        yield platform


def runs(fleet, answer):
    """Returns how often a request has run."""
    return sum(
        run.request_id == answer.request_id
        for backend in fleet.backends.values()
        for run in backend.runs
    )


class TestOwnRefusals:
    """A status that callers take for a promise, of what has run."""

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    async def test_a_request_that_may_run_once(self, fleet, status):
        """Guards against callers that are told to book again (review/14)."""
        for backend in fleet.backends.values():
            backend.fail_every, backend.fail_status = 1, status
        for number in range(REQUESTS):
            for machine in fleet.machines.values():
                answer = await fleet.caller.send(
                    machine, f"/book/{number}", "POST", b"bed"
                )
                if answer.status in (408, 421, 429, 503):
                    assert runs(fleet, answer) == 0
                else:
                    assert answer.status == 502
                    assert not answer.signature
                    assert runs(fleet, answer) == 1

    @pytest.mark.parametrize("status", [429, 503])
    async def test_a_request_that_may_be_repeated(self, fleet, status):
        """Guards against a failure although the other server would do."""
        first = next(iter(fleet.backends.values()))
        first.fail_every, first.fail_status = 1, status
        for number in range(REQUESTS):
            for machine in fleet.machines.values():
                answer = await fleet.caller.send(machine, f"/page/{number}")
                assert answer.status == 200
