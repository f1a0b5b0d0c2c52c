"""A fleet of real processes on loopback."""

import asyncio
import signal
import sys
from typing import Any

from vanillamast_testing.fleet_settings import FleetSettings
from vanillamast_testing.instance_processes import InstanceProcesses
from vanillamast_testing.instance_spec import InstanceSpec
from vanillamast_testing.managed_process import ManagedProcess
from vanillamast_testing.operator_client import OperatorClient

PLATFORM_PORT = 9400
POLL_S = 0.05
SEEDS_PER_DOMAIN = 2


class Fleet:
    """The platform's stand-in, nodes and backend servers.

    Used with `async with`; its end kills all processes.

    Attributes:
      settings: How the fleet is run.
      platform: Process of the platform's log.
      platform_address: Its "ip:port".
      instances: Instances by name.
      client: Client of the HTTP interfaces of nodes and servers.
    """

    def __init__(self, settings: FleetSettings):
        self.settings = settings
        self.platform_address = f"{settings.network}.1:{PLATFORM_PORT}"
        self.platform = ManagedProcess(
            "platform log",
            [
                sys.executable,
                "-m",
                "vanillamast_testing.platform_log",
                f"--address={self.platform_address}",
                *(
                    f"--address={self.log_address(domain)}"
                    for domain in settings.failure_domains
                ),
                f"--data={settings.directory / 'platform.data'}",
            ],
            settings.directory / "platform.out",
        )
        self.instances: dict[str, InstanceProcesses] = {}
        self.client = OperatorClient()

    async def __aenter__(self) -> "Fleet":
        await self.client.__aenter__()
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.client.__aexit__()
        processes = [self.platform]
        for instance in self.instances.values():
            processes += [instance.node, instance.server]
        for process in processes:
            process.send_signal(signal.SIGCONT)
        await asyncio.gather(*(process.kill() for process in processes))

    def host(self, index: int) -> str:
        """Returns the loopback address of an instance, from index 0."""
        return f"{self.settings.network}.{index + 10}"

    def log_address(self, failure_domain: str) -> str:
        """Returns the "ip:port" of the log for a failure domain."""
        domains = self.settings.failure_domains
        if failure_domain not in domains:
            return self.platform_address
        index = domains.index(failure_domain)
        return f"{self.settings.network}.{index + 2}:{PLATFORM_PORT}"

    def add(self, specs: list[InstanceSpec], seeds: list[str]) -> None:
        """Adds instances without starting them."""
        for spec in specs:
            log_url = f"http://{self.log_address(spec.failure_domain)}"
            self.instances[spec.name] = InstanceProcesses(
                spec, self.settings, log_url, seeds
            )

    async def start(self, names: list[str]) -> None:
        """Starts instances and waits until their nodes answer.

        Raises:
          TimeoutError: A node does not answer in time.
        """
        instances = [self.instances[name] for name in names]
        await asyncio.gather(*(instance.start() for instance in instances))
        await self.wait_for(names, lambda status: True, 30.0)

    async def status(self, name: str) -> dict[str, Any] | None:
        """Returns a node's status, None if it does not answer."""
        spec = self.instances[name].spec
        return await self.client.get(spec.operators, "/v1/status")

    async def wait_for(
        self, names: list[str], accept: Any, timeout_s: float
    ) -> float:
        """Waits until all nodes' statuses are accepted.

        Args:
          names: Instances.
          accept: Called with a status, returns whether it is as wanted.
          timeout_s: Longest wait.

        Returns:
          The time that it took, in seconds.

        Raises:
          TimeoutError: Names the instances that were not accepted.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        pending = list(names)
        while pending:
            if loop.time() - started > timeout_s:
                raise TimeoutError(f"not as expected: {', '.join(pending)}")
            statuses = await asyncio.gather(*map(self.status, pending))
            pending = [
                name
                for name, status in zip(pending, statuses, strict=True)
                if status is None or not accept(status)
            ]
            if pending:
                await asyncio.sleep(POLL_S)
        return loop.time() - started

    def running(self) -> list[str]:
        """Returns the instances whose node runs."""
        return [n for n, i in self.instances.items() if i.node.running]


def choose_seeds(specs: list[InstanceSpec]) -> list[str]:
    """Returns the peers' addresses of some instances of each domain."""
    by_domain: dict[str, list[str]] = {}
    for spec in specs:
        by_domain.setdefault(spec.failure_domain, []).append(spec.peers)
    return [
        address
        for addresses in by_domain.values()
        for address in addresses[:SEEDS_PER_DOMAIN]
    ]
