"""Tests of a standalone node's process under clients outside the limits.

The memory bound is that of the smallest machine of the reference deployments.
No test checks times or how many requests of a crowd are served.
"""

import asyncio
import resource
import socket
import sys

import aiohttp
import pytest
import yaml
from vanillamast_testing.managed_process import ManagedProcess

from tests.node.proxy.standalone_crowds import CROWDS
from tests.platform_path.process_usage import read_peak_mb, watch_fds
from tests.platform_path.untrusted_crowd import play

HOST = "127.54.0.1"
LISTENERS = ("callers", "peers", "servers", "operators")
MEMORY_MB = 150
MAX_FDS = 1000
FREE_FDS = 100  # For files and connections of the node's own.
ANSWER_TIMEOUT_S = 60.0  # Only a hang takes this long.


def free_port():
    """Returns a port that nothing listens on."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class StandaloneNode:
    """A node without a platform, which answers queries all the same.

    Attributes:
      ports: Ports of its listeners.
      log_port: Port of the platform's log.
      process: Its process.
    """

    def __init__(self, folder):
        self.ports = {name: free_port() for name in LISTENERS}
        self.log_port = free_port()
        path = folder / "node.yaml"
        path.write_text(
            yaml.safe_dump(
                {
                    "instance": "one",
                    "region": "r",
                    "failure_domain": "a",
                    "edge": True,
                    "listen": {
                        name: f"{HOST}:{port}"
                        for name, port in self.ports.items()
                    },
                    "platform": {"log_url": f"http://{HOST}:{self.log_port}"},
                    "log": {"path": str(folder / "log.jsonl")},
                }
            )
        )
        self.process = ManagedProcess(
            "node",
            [sys.executable, "-m", "vanillamast_node.main", str(path)],
            folder / "out",
        )

    async def is_answering(self):
        """Returns whether callers and operators get answers."""
        timeout = aiohttp.ClientTimeout(total=2.0)
        urls = (
            f"http://{HOST}:{self.ports['callers']}/chapters/1",
            f"http://{HOST}:{self.ports['operators']}/v1/versions",
            f"http://{HOST}:{self.ports['servers']}/v1/announce",
        )
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                for url in urls:
                    async with session.get(url) as answer:
                        await answer.read()
        except (OSError, aiohttp.ClientError, TimeoutError):
            return False
        return True

    async def wait_until_answering(self):
        """Waits until the node answers."""
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while not await self.is_answering():
                await asyncio.sleep(0.2)


@pytest.fixture
async def node(tmp_path):
    """Starts a node with few descriptors."""
    found = StandaloneNode(tmp_path)
    await found.process.start()
    resource.prlimit(
        found.process.process.pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS)
    )
    await found.wait_until_answering()
    yield found
    await found.process.kill()


class TestUntrustedClients:
    """A process survives clients that it does not control."""

    @pytest.mark.parametrize("kind", CROWDS)
    async def test_node_stays_within_its_limits(self, node, kind):
        """Guards against clients that take all memory or descriptors."""
        crowd = CROWDS[kind]
        before_mb = read_peak_mb(node.process)
        async with watch_fds([node.process]) as most_fds:
            clients = await play(crowd, HOST, node.ports[crowd.port])
            try:
                await asyncio.sleep(crowd.hold_s)
                assert node.process.running
                await node.wait_until_answering()
            finally:
                for client in clients:
                    client.close()
        await node.wait_until_answering()
        peak_mb = read_peak_mb(node.process)
        fds = max(most_fds.values())
        print(f"{kind}: {before_mb:.0f} to {peak_mb:.0f} MB, {fds} fds")
        assert peak_mb < MEMORY_MB
        assert fds <= MAX_FDS - FREE_FDS
