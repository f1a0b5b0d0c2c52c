"""Checks of an emulated fleet that several tests use."""

import asyncio

from vanillamast_sidecar.operator_state.operator_state_sync import (
    MIN_WAIT_FRACTION,
)
from vanillamast_sidecar.operator_state.reader_timing import ReaderTiming

# A reader of the store starts polls at least this far apart while nothing
# changes. The machines' bound on changes is 2 s.
SHORTEST_POLL_S = MIN_WAIT_FRACTION * ReaderTiming.from_apply_s(2.0).poll_s


async def until(check, timeout_s=20.0):
    """Waits until a check holds; fails the test on a timeout."""
    async with asyncio.timeout(timeout_s):
        while not await check():
            await asyncio.sleep(0.05)


async def fetch_statuses(fleet, path):
    """Returns the status of each running machine's answer to a path."""
    return [
        (await fleet.caller.send(machine, path)).status
        for machine in fleet.machines.values()
        if machine.process.running
    ]


async def publish_route(fleet, name, service="browse"):
    """Publishes another route and waits until every node serves it."""
    fleet.operator.set_route(name, service)
    await fleet.operator.publish()

    async def served():
        return set(await fetch_statuses(fleet, f"/{name}/1")) == {200}

    await until(served)
