"""Runs many control sides in one process, to fill a mesh to its target size.

Run as `python -m vanillamast_testing.core_host --count=1176
--log_url=http://127.0.0.1:9400 --network=127.40`. Each has its own listener
for peers, so that real nodes link to it; among themselves they link in
memory. They have no request path.
"""

import asyncio
import random
import sys
import time

from absl import flags
from vanillamast_core.control import (
    CoreSettings,
    Event,
    NodeCore,
    ServerReport,
    ServerReported,
)
from vanillamast_core.moves import VersionSplit
from vanillamast_core.peers import (
    KeyAnswer,
    KeyState,
    Message,
    PeerSettings,
    pack_announcement,
)
from vanillamast_core.requests import RequestRouter, RequestSettings
from vanillamast_node.core_task import CoreTask
from vanillamast_node.log_appender import LogAppender
from vanillamast_node.log_reader import LogReader
from vanillamast_node.node_metrics import NodeMetrics
from vanillamast_node.peer_transport import split_address
from vanillamast_node.platform_client import PlatformClient
from vanillamast_node.platform_settings import PlatformSettings

from vanillamast_testing.command_flags import parse_flags
from vanillamast_testing.instance_spec import InstanceSpec
from vanillamast_testing.local_transport import LocalTransport
from vanillamast_testing.target_mesh import target_instances

REPORT_S = 1.0
TICK_S = 0.5  # Half as often as a real node, to save processor time.
FLAGS = flags.FlagValues()
flags.DEFINE_integer(
    "first", 0, "Index of the first instance.", 0, flag_values=FLAGS
)
flags.DEFINE_integer("count", 1176, "Instances.", 1, flag_values=FLAGS)
flags.DEFINE_string("network", "127.40", "Addresses.", flag_values=FLAGS)
flags.DEFINE_string("log_url", None, "Platform's log.", flag_values=FLAGS)
flags.DEFINE_multi_string("seed", [], "Nodes' ip:port.", flag_values=FLAGS)
flags.mark_flag_as_required("log_url", flag_values=FLAGS)


class HostedTask(CoreTask):
    """A core task without metrics.

    One process runs 1,176 of them; the histogram of events would take a third
    of their processor time.
    """

    def handle_event(self, event: Event) -> None:
        """Handles one event now."""
        now = asyncio.get_running_loop().time()
        for effect in self.core.handle(event, now, time.time()):
            self.execute_effect(effect)


class HostedNode:
    """One control plane, its transport and its backend server's reports.

    Attributes:
      spec: The instance that it stands for.
      task: The task that owns its control plane.
      transport: Its links.
    """

    def __init__(
        self,
        spec: InstanceSpec,
        client: PlatformClient,
        seeds: tuple[str, ...],
        local: dict[str, LocalTransport],
    ):
        self.spec = spec
        rng = random.Random(spec.name)
        core = NodeCore(core_settings(spec, seeds), rng, time.time())
        router = RequestRouter(
            RequestSettings(), spec.failure_domain, rng, VersionSplit
        )
        self.task = HostedTask(core, router, NodeMetrics())
        self.transport = LocalTransport(
            self.task.post, answer_key_unclear, local
        )
        self.task.transport = self.transport
        self.task.log_reader = LogReader(
            client, self.task.post, core.recovery.last_read_offset, rng
        )
        self.task.log_appender = LogAppender(
            client, lambda record: core.outcome(record) is not None, rng
        )

    def announce(self) -> bytes:
        """Announces the backend server; returns the packed announcement."""
        loop = asyncio.get_running_loop()
        event = ServerReported(self.server_report())
        self.task.core.handle(event, loop.time(), time.time())
        return pack_announcement(self.task.core.mesh.own)

    def fill_membership(self, announcements: list[bytes]) -> None:
        """Adds all hosted nodes to the membership.

        Otherwise every node would learn of all others over the overlay at
        once, which no real start does and one process cannot carry.
        """
        for packed in announcements:
            self.task.core.mesh.directory.merge_packed(packed)

    async def listen(self) -> None:
        """Listens for peers."""
        await self.transport.start(*split_address(self.spec.peers))

    async def run(self, delay_s: float) -> None:
        """Runs until it is cancelled; ticks start after a delay."""
        await asyncio.gather(
            self.task.run(),
            self.run_ticks(delay_s),
            self.task.log_reader.run(),
            self.renew_lease(),
        )

    async def run_ticks(self, delay_s: float) -> None:
        """Ticks after a delay, so that hosted nodes do not tick together."""
        await asyncio.sleep(delay_s)
        await self.task.run_ticks()

    def server_report(self) -> ServerReport:
        """Returns what the backend server reports."""
        return ServerReport(
            address=self.spec.backend,
            service=self.spec.service,
            version=self.spec.version,
        )

    async def renew_lease(self) -> None:
        """Renews the backend server's lease."""
        while True:
            self.task.post(ServerReported(self.server_report()))
            await asyncio.sleep(REPORT_S)


def core_settings(spec: InstanceSpec, seeds: tuple[str, ...]) -> CoreSettings:
    """Returns the settings of a hosted control plane."""
    return CoreSettings(
        instance=spec.name,
        region=spec.region,
        failure_domain=spec.failure_domain,
        service=spec.service,
        edge=spec.edge,
        peer_address=spec.peers,
        operator_address=spec.operators,
        holder=f"{spec.name}/{time.time_ns()}",
        seeds=seeds,
        peers=PeerSettings(tick_s=TICK_S),
    )


async def answer_key_unclear(message: Message) -> Message:
    """Answers a call about a key; hosted nodes keep no keys."""
    return KeyAnswer(KeyState.UNCLEAR)


async def main() -> None:
    """Runs all hosted nodes until the process is stopped."""
    client = PlatformClient(PlatformSettings(log_url=FLAGS.log_url))
    await client.open()
    local: dict[str, LocalTransport] = {}
    last = FLAGS.first + FLAGS.count
    specs = target_instances(FLAGS.network)[FLAGS.first : last]
    seeds = tuple(FLAGS.seed)
    async with asyncio.TaskGroup() as group:
        nodes = [HostedNode(spec, client, seeds, local) for spec in specs]
        local.update({node.spec.peers: node.transport for node in nodes})
        announcements = [node.announce() for node in nodes]
        for node in nodes:
            node.fill_membership(announcements)
        # All listen before the first of them dials, so that no dial is
        # refused by an instance that others already know.
        for node in nodes:
            await node.listen()
        for index, node in enumerate(nodes):
            group.create_task(node.run(TICK_S * index / len(nodes)))
        print(f"{len(specs)} control sides run", flush=True)


def run() -> None:
    """Entry point of the command."""
    parse_flags(FLAGS, sys.argv, __doc__ or "")
    asyncio.run(main())


if __name__ == "__main__":
    run()
