"""What several tests ask of an emulated fleet."""

import asyncio


async def until(check, timeout_s=20.0):
    """Waits until a check holds; a hang fails the test."""
    async with asyncio.timeout(timeout_s):
        while not await check():
            await asyncio.sleep(0.05)


async def statuses(fleet, path):
    """Returns the status that each machine answers a path with."""
    return [
        (await fleet.caller.send(machine, path)).status
        for machine in fleet.machines.values()
        if machine.process.running
    ]


async def publish_route(fleet, name, service="browse"):
    """Publishes a further route and waits until every node serves it."""
    fleet.operator.set_route(name, service)
    await fleet.operator.publish()

    async def served():
        return set(await statuses(fleet, f"/{name}/1")) == {200}

    await until(served)
