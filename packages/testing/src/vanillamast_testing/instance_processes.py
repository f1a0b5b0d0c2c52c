"""The processes of one instance: a node and a backend server."""

import asyncio
import sys

import yaml

from vanillamast_testing.fleet_settings import FleetSettings
from vanillamast_testing.instance_spec import InstanceSpec
from vanillamast_testing.managed_process import ManagedProcess


class InstanceProcesses:
    """A node and its backend server.

    Attributes:
      spec: What runs where.
      node: Process of the node.
      server: Process of the backend server.
      log_path: The node's log.
      run_log: File with the ids of all requests that the backend server ran.
    """

    def __init__(
        self,
        spec: InstanceSpec,
        settings: FleetSettings,
        log_url: str,
        seeds: list[str],
    ):
        self.spec = spec
        self.settings = settings
        self.log_path = settings.directory / f"{spec.name}.log"
        self.run_log = settings.directory / f"{spec.name}.runs"
        path = settings.directory / f"{spec.name}.yaml"
        path.write_text(yaml.safe_dump(self._node_settings(log_url, seeds)))
        self.node = ManagedProcess(
            f"node {spec.name}",
            [sys.executable, "-m", "vanillamast_node.main", str(path)],
            settings.directory / f"{spec.name}.node.out",
        )
        self.server = ManagedProcess(
            f"server {spec.name}",
            [
                sys.executable,
                "-m",
                "vanillamast_testing.backend_server",
                f"--address={spec.backend}",
                f"--service={spec.service}",
                f"--version={spec.version}",
                f"--node_servers={spec.servers}",
                f"--node_callers={spec.callers}",
                f"--run_log={self.run_log}",
                *settings.backend_flags,
            ],
            settings.directory / f"{spec.name}.server.out",
        )

    async def start(self) -> None:
        """Starts both processes."""
        await asyncio.gather(self.node.start(), self.server.start())

    async def stop(self) -> int | None:
        """Stops the node, then the backend server, as planned.

        Returns:
          The node's exit status, None if it had to be killed.
        """
        timeout_s = self.settings.stop_timeout_s
        status = await self.node.stop(timeout_s)
        await self.server.stop(timeout_s)
        return status

    async def kill(self) -> None:
        """Kills both processes, as a machine failure does."""
        await asyncio.gather(self.node.kill(), self.server.kill())

    def _node_settings(self, log_url: str, seeds: list[str]) -> dict:
        spec = self.spec
        return {
            "instance": spec.name,
            "region": spec.region,
            "failure_domain": spec.failure_domain,
            "service": spec.service,
            "edge": spec.edge,
            "listen": {
                "callers": spec.callers,
                "peers": spec.peers,
                "servers": spec.servers,
                "operators": spec.operators,
            },
            "platform": {"log_url": log_url},
            "seeds": [seed for seed in seeds if seed != spec.peers],
            "log": {"path": str(self.log_path)},
            **self.settings.node_settings,
        }
