"""What a soak does to the fleet, registered by name."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from vanillamast_core.registry import Registry

if TYPE_CHECKING:
    from vanillamast_testing.soak.soak import Soak

# The emulated machines' settings have the same values.
DRAIN_S = 2.0
GRACE_S = 6.0
# Time in which a leaving server's last requests end before it is gone.
LAST_REQUESTS_S = 1.0

SILENT_TOPICS = ("keyed.op", "keyed.status", "keyed.vanillamast-nodes")
# Callers take these for a promise that a request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)

Action = Callable[["Soak"], Awaitable[None]]
actions: Registry[Action] = Registry("soak action")


@actions.register("planned_stop")
async def stop_and_start(soak: "Soak") -> None:
    """Stops a node with SIGTERM and starts it again."""
    with soak.disturb_machine("planned_stop") as machine:
        await machine.process.stop(GRACE_S)
        await machine.process.start()
        await soak.wait_until_ready(machine)


@actions.register("kill")
async def kill_and_start(soak: "Soak") -> None:
    """Kills a node and starts it again."""
    with soak.disturb_machine("kill") as machine:
        await machine.process.kill()
        await asyncio.sleep(soak.rng.uniform(0.1, 1.5))
        await machine.process.start()
        await soak.wait_until_ready(machine)


@actions.register("pause")
async def pause(soak: "Soak") -> None:
    """Suspends a node for a time."""
    with soak.disturb_machine("pause") as machine:
        machine.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(soak.rng.uniform(0.3, 2.0))
        machine.process.send_signal(signal.SIGCONT)


@actions.register("rate_limit")
async def name_rate_limit(soak: "Soak") -> None:
    """Lets a server name a rate limit."""
    with soak.disturb_backend("rate_limit") as backend:
        limit = soak.rng.uniform(1.0, 12.0)
        backend.rate_limit = limit
        period = soak.start_limit(backend, limit)
        await asyncio.sleep(soak.rng.uniform(5.0, 10.0))
        period.ended_at = soak.now()
        backend.rate_limit = None


@actions.register("leave")
async def leave(soak: "Soak") -> None:
    """Lets a server leave, as its responses say, and starts another one."""
    with soak.disturb_backend("leave") as backend:
        backend.names_leaving = True
        await asyncio.sleep(DRAIN_S + LAST_REQUESTS_S)
        await soak.replace_backend(backend)


@actions.register("truncate")
async def truncate(soak: "Soak") -> None:
    """Lets a server break off some of its answers."""
    with soak.disturb_backend("truncate") as backend:
        backend.truncate_every = 5
        await asyncio.sleep(soak.rng.uniform(0.5, 2.0))
        backend.truncate_every = 0


@actions.register("publish")
async def publish(soak: "Soak") -> None:
    """Publishes a configuration with another route."""
    operator = soak.platform.operator
    operator.set_route(
        f"added{len(operator.routes)}", soak.settings.services[0]
    )
    with soak.disturb("publish"):
        await operator.publish()


@actions.register("store_outage")
async def fail_store(soak: "Soak") -> None:
    """Makes all calls to the store fail."""
    store = soak.platform.store
    if store.failure_mode:
        return
    with soak.disturb("store_outage"):
        store.failure_mode = soak.rng.choice(("unavailable", "reset"))
        await asyncio.sleep(soak.rng.uniform(0.5, 4.0))
        store.failure_mode = ""


@actions.register("silent_topic")
async def silence_topic(soak: "Soak") -> None:
    """Lets the store give no answers on one topic."""
    topic = soak.rng.choice(SILENT_TOPICS)
    topics = soak.platform.store.silent_topics
    if topic in topics:
        return
    with soak.disturb("silent_topic"):
        topics.add(topic)
        await asyncio.sleep(soak.rng.uniform(0.5, 4.5))
        topics.discard(topic)


@actions.register("own_refusal")
async def refuse_what_has_run(soak: "Soak") -> None:
    """Lets a server answer some requests that it has run as if it had not."""
    with soak.disturb_backend("own_refusal") as backend:
        backend.fail_every = 4
        backend.fail_status = soak.rng.choice(NOT_RUN_STATUSES)
        await asyncio.sleep(soak.rng.uniform(0.5, 2.0))
        backend.fail_every = 0


@actions.register("store_return")
async def return_store(soak: "Soak") -> None:
    """Lets the store fail and return from a copy that is seconds old."""
    store = soak.platform.store
    partitions = store.make_copy()
    await asyncio.sleep(soak.rng.uniform(0.5, 3.0))
    if store.failure_mode:
        return
    with soak.disturb("store_return"):
        store.failure_mode = soak.rng.choice(("unavailable", "reset"))
        await asyncio.sleep(soak.rng.uniform(0.5, 2.0))
        await soak.platform.operator.restore_store(partitions)
        store.failure_mode = ""
