"""The emulated platform: store, machines, servers, operator and callers."""

import asyncio
import json
import pathlib
from types import TracebackType
from typing import Any

import aiohttp

from vanillamast_testing.emulator.backend import Backend
from vanillamast_testing.emulator.caller import Caller
from vanillamast_testing.emulator.machine import PORTS, Machine
from vanillamast_testing.emulator.operator import Operator
from vanillamast_testing.emulator.store import EmulatedStore

STORE_PORT = 18309
READY_TIMEOUT_S = 30.0  # Only a hang takes this long.


class EmulatedPlatform:
    """Starts and stops all parts of the emulated platform.

    Each machine has its own loopback address; ports are the same on all.

    Attributes:
      network: First two numbers of the addresses; tests that run at the same
        time need different ones.
      folder: Folder of settings files and logs.
      store: The store.
      operator: The operator.
      caller: Sends the callers' requests.
      machines: Machines by name.
      backends: Backend servers by the name of their machine.
    """

    def __init__(self, folder: pathlib.Path, network: str = "127.10"):
        self.network = network
        self.folder = folder
        self.store = EmulatedStore(f"{network}.0.9", STORE_PORT)
        self.operator = Operator(self.store)
        self.machines: dict[str, Machine] = {}
        self.backends: dict[str, Backend] = {}
        self.caller: Caller

    async def __aenter__(self) -> "EmulatedPlatform":
        """Starts the store."""
        await self.store.start()
        self.caller = Caller()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stops everything that was started."""
        await self.caller.close()
        for machine in self.machines.values():
            await machine.process.kill()
        for backend in self.backends.values():
            await backend.kill()
        await self.store.stop()

    async def add_machine(
        self, zone: int, service: str, version: str = "v1", node: bool = True
    ) -> Machine:
        """Adds a machine with a backend server and starts its node."""
        number = len(self.machines) + 1
        name = f"m{number}"
        host = f"{self.network}.{zone + 1}.{number}"
        store_host = f"{self.network}.100.{number}"
        await self.store.listen(store_host)
        machine = Machine(
            name,
            host,
            f"z{zone}",
            service,
            store_host,
            self.store.port,
            self.folder,
        )
        self.machines[name] = machine
        if node:
            await machine.process.start()
        backend = Backend(
            f"i-{name}",
            service,
            host,
            PORTS["app"],
            PORTS["control"],
            machine.zone,
            version,
        )
        self.backends[name] = backend
        await backend.start()
        return machine

    def block_store(self, name: str) -> None:
        """Makes the store answer a machine's calls with status 503."""
        self.store.blocked_hosts.add(self.machines[name].store_host)

    async def is_ready(self, machine: Machine) -> bool:
        """Returns whether a node reports that it is ready for callers."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(machine.url("ready", "/api/ready")) as answer,
            ):
                return answer.status == 200
        except (OSError, aiohttp.ClientError, TimeoutError):
            return False

    async def wait_until_ready(self) -> None:
        """Waits until each node is ready and all nodes know its server."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            for machine in self.machines.values():
                while not await self.is_ready(machine):
                    await asyncio.sleep(0.05)
        # Time for a heartbeat and for its announcement to the other nodes.
        await asyncio.sleep(0.8)

    def read_log(self, name: str) -> str:
        """Returns the log of a node."""
        return self.machines[name].process.log_path.read_text()

    def last_log_line(self, name: str, kind: str) -> dict[str, Any] | None:
        """Returns the newest line of a kind in a node's log, if any."""
        for text in reversed(self.read_log(name).splitlines()):
            if f'"kind":"{kind}"' not in text:
                continue
            line: dict[str, Any] = json.loads(text)
            return line
        return None
