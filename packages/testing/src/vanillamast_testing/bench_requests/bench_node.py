"""Runs the node of the benchmark in a process of its own."""

import asyncio
import random
from collections.abc import Sequence
from typing import Any

from vanillamast_core import Announcement, ServerState
from vanillamast_core.configuration import Route, Service
from vanillamast_core.peers import ClaimKey, KeyAnswer, KeyState, SettleKey
from vanillamast_core.requests import (
    AttemptResult,
    RequestRouter,
    RequestSettings,
)
from vanillamast_node import (
    CallerListener,
    ForwardingContext,
    ForwardingSettings,
    UpstreamPool,
)
from vanillamast_node.process_tuning import tune_garbage_collection

from vanillamast_testing.bench_requests.decision_writer import DecisionWriter
from vanillamast_testing.bench_requests.no_split import NoSplit

SERVING_SINCE_MS = 1000
NOW_WALL_S = 1e6  # Long after the servers' slow start.
TIMEOUT_MS = 1000


def make_announcement(address: str, index: int, slots: int) -> Announcement:
    """Returns the announcement of a server in the node's failure domain."""
    return Announcement(
        f"server-{index}",
        1,
        "bench",
        "a",
        "",
        service="pages",
        server_version="v1",
        server_address=address,
        state=ServerState.SERVING,
        slots=slots,
        serving_since_ms=SERVING_SINCE_MS,
    )


async def run_node(
    pipe: Any, servers: Sequence[tuple[str, int]], policy: str, log: str
) -> None:
    """Runs a node until a message arrives, then sends its counters.

    Args:
      pipe: Connection to the benchmark's main process.
      servers: Address and slots of each backend server.
      policy: Name of the balancing policy.
      log: Path of the log of routing decisions.
    """
    settings = ForwardingSettings()
    router = RequestRouter(
        RequestSettings(policy=policy), "a", random.Random(1), NoSplit
    )
    route = Route("/", "pages", timeout_ms=TIMEOUT_MS)
    router.set_routes({"pages": route}, {}, {"pages": Service("v1")})
    now = asyncio.get_running_loop().time()
    announcements = [
        make_announcement(address, index, slots)
        for index, (address, slots) in enumerate(servers)
    ]
    router.set_servers("pages", announcements, False, now, NOW_WALL_S)
    writer = DecisionWriter(log)
    async with UpstreamPool(settings) as upstream:
        context = ForwardingContext(
            settings,
            router,
            upstream,
            _ignore_result,
            writer.write,
            _grant,
            _ignore_settlement,
        )
        listener = CallerListener(context, "127.0.0.1:0")
        await listener.start()
        tune_garbage_collection()
        pipe.send(listener.address)
        await asyncio.to_thread(pipe.recv)
        pipe.send((writer.first_attempts, writer.retries, writer.refusals))
        await listener.stop()


def _ignore_result(result: AttemptResult) -> None:
    return None


async def _grant(claim: ClaimKey) -> KeyAnswer:
    return KeyAnswer(KeyState.GRANTED)


async def _ignore_settlement(settle: SettleKey) -> None:
    return None
