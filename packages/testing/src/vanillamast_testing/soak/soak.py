"""Runs a soak of real nodes on the emulated platform."""

import asyncio
import contextlib
import itertools
import pathlib
import random
import time
from collections.abc import Iterator

from vanillamast_core import VanillamastError

from vanillamast_testing.emulator import Backend, EmulatedPlatform, Machine
from vanillamast_testing.soak.disturbance import Disturbance
from vanillamast_testing.soak.limit_period import LimitPeriod
from vanillamast_testing.soak.sent_request import SentRequest
from vanillamast_testing.soak.soak_actions import actions
from vanillamast_testing.soak.soak_record import SoakRecord
from vanillamast_testing.soak.soak_settings import SoakSettings

WORK_S = 0.05
SLOTS = 6
READINESS_INTERVAL_S = 1.0
# Only a hang takes this long.
READY_TIMEOUT_S = 30.0
# Longest pause between two disturbances of a series.
MAX_PAUSE_S = 1.0
POLL_S = 0.05
# Everything is served again after this time (the users' `recover_s`).
RECOVERY_S = 15.0
OK = 200


class NothingLeftError(VanillamastError):
    """All machines or servers are disturbed already."""


class Soak:
    """Sends requests and disturbs the fleet, then records what happened.

    Attributes:
      settings: Settings.
      platform: The emulated platform.
      rng: Source of all choices.
      record: What has happened so far.
      busy_machines: Machines whose node is disturbed.
      busy_servers: Machines whose server is disturbed.
      sends: Requests in progress.
      numbers: Numbers of requests and servers.
    """

    def __init__(self, settings: SoakSettings, folder: pathlib.Path):
        self.settings = settings
        self.platform = EmulatedPlatform(folder, settings.network)
        self.rng = random.Random(settings.seed)
        self.record = SoakRecord()
        self.busy_machines: set[str] = set()
        self.busy_servers: set[str] = set()
        self.sends: set[asyncio.Task[None]] = set()
        self.numbers = itertools.count(1)

    def now(self) -> float:
        """Returns the time that the records use, in seconds."""
        return time.monotonic()

    async def run(self) -> SoakRecord:
        """Runs the whole soak."""
        async with self.platform:
            await self._start_fleet()
            background = [
                asyncio.create_task(self._poll_readiness()),
                *(
                    asyncio.create_task(self._send_requests(machine))
                    for machine in self.platform.machines.values()
                ),
            ]
            async with asyncio.TaskGroup() as group:
                for _ in range(self.settings.series):
                    group.create_task(self._disturb())
            await self._check_recovery()
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)
            await asyncio.gather(*self.sends)
        return self.record

    async def _start_fleet(self) -> None:
        operator = self.platform.operator
        for service in self.settings.services:
            operator.set_route(f"{service}-page", service)
            operator.set_route(
                f"{service}-post", service, kind="non_idempotent"
            )
        await operator.publish()
        for zone in range(self.settings.domains):
            for service in self.settings.services:
                await self.platform.add_machine(zone, service)
        for backend in self.platform.backends.values():
            self._configure(backend)
        for machine in self.platform.machines.values():
            self.record.machines[machine.host] = machine.name
        await self.platform.wait_until_ready()

    def _configure(self, backend: Backend) -> None:
        backend.work_s = WORK_S
        backend.slots = SLOTS
        self.record.backends.append(backend)

    # Callers.

    async def _send_requests(self, machine: Machine) -> None:
        """Sends until the process is gone, and again once it is back."""
        while True:
            await asyncio.sleep(1.0 / self.settings.requests_per_s)
            if machine.process.running:
                task = asyncio.create_task(self._send(machine))
                self.sends.add(task)
                task.add_done_callback(self.sends.discard)

    async def _send(self, machine: Machine) -> None:
        service = self.rng.choice(self.settings.services)
        method = self.rng.choice(("GET", "POST"))
        kind = "page" if method == "GET" else "post"
        path = f"/{service}-{kind}/{next(self.numbers)}"
        started_at = self.now()
        answer = await self.platform.caller.send(
            machine, path, method, b"x" if method == "POST" else b""
        )
        self.record.requests.append(
            SentRequest(
                machine.name, method, path, started_at, self.now(), answer
            )
        )

    async def _poll_readiness(self) -> None:
        """Asks nodes whether they are ready, as the platform does."""
        while True:
            await asyncio.gather(
                *(
                    self.platform.is_ready(machine)
                    for machine in self.platform.machines.values()
                )
            )
            await asyncio.sleep(READINESS_INTERVAL_S)

    # Disturbances.

    async def _disturb(self) -> None:
        """Runs a series of disturbances."""
        ends_at = self.now() + self.settings.duration_s
        while self.now() < ends_at:
            await asyncio.sleep(self.rng.uniform(0.0, MAX_PAUSE_S))
            name = self.rng.choice(list(actions))
            # All machines or servers may be disturbed already.
            with contextlib.suppress(NothingLeftError):
                await actions.get(name)(self)

    @contextlib.contextmanager
    def disturb(self, kind: str, target: str = "") -> Iterator[None]:
        """Records a disturbance while it lasts."""
        disturbance = Disturbance(kind, target, self.now())
        self.record.disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.ended_at = self.now()

    @contextlib.contextmanager
    def disturb_machine(self, kind: str) -> Iterator[Machine]:
        """Chooses a machine whose node is not disturbed yet.

        Raises:
          NothingLeftError: There is none.
        """
        with self._choose(self.busy_machines) as name, self.disturb(kind, name):
            yield self.platform.machines[name]

    @contextlib.contextmanager
    def disturb_backend(self, kind: str) -> Iterator[Backend]:
        """Chooses a server that is not disturbed yet; its node may be.

        Raises:
          NothingLeftError: There is none.
        """
        with self._choose(self.busy_servers) as name, self.disturb(kind, name):
            yield self.platform.backends[name]

    @contextlib.contextmanager
    def _choose(self, busy: set[str]) -> Iterator[str]:
        names = sorted(self.platform.machines.keys() - busy)
        if not names:
            raise NothingLeftError
        name = self.rng.choice(names)
        busy.add(name)
        try:
            yield name
        finally:
            busy.discard(name)

    def start_limit(self, backend: Backend, limit_per_s: float) -> LimitPeriod:
        """Records that a server names a limit from now on."""
        period = LimitPeriod(
            backend.id, limit_per_s, backend.arrivals, self.now()
        )
        self.record.limits.append(period)
        return period

    async def replace_backend(self, backend: Backend) -> None:
        """Ends a server and starts another one on its machine."""
        name = self.record.machines[backend.host]
        await backend.kill()
        successor = Backend(
            f"i-{name}-{next(self.numbers)}",
            backend.service,
            backend.host,
            backend.port,
            backend.control_port,
            backend.zone,
            backend.version,
        )
        self._configure(successor)
        self.platform.backends[name] = successor
        await successor.start()

    async def wait_until_ready(self, machine: Machine) -> None:
        """Waits until a started node is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.platform.is_ready(machine):
                await asyncio.sleep(POLL_S)

    # The end.

    async def _check_recovery(self) -> None:
        """Waits until each node serves each service again."""
        for machine in self.platform.machines.values():
            for service in self.settings.services:
                path = f"/{service}-page/last"
                if not await self._is_served(machine, path):
                    self.record.unserved.append(f"{path} on {machine.name}")

    async def _is_served(self, machine: Machine, path: str) -> bool:
        """Returns whether a node serves a path soon."""
        ends_at = self.now() + RECOVERY_S
        while self.now() < ends_at:
            answer = await self.platform.caller.send(machine, path)
            if answer.status == OK:
                return True
            await asyncio.sleep(POLL_S)
        return False
