"""Runs scenarios on real processes on loopback."""

import asyncio
import collections
import pathlib
import signal
from collections.abc import Mapping, Sequence
from typing import Any

import msgspec
from vanillamast_core.configuration import (
    EDGE,
    Configuration,
    dump_configuration,
    load_configuration,
)

from vanillamast_testing.badness import Badness
from vanillamast_testing.fleet import Fleet, choose_seeds
from vanillamast_testing.instance_spec import InstanceSpec
from vanillamast_testing.load_settings import LoadSettings
from vanillamast_testing.open_loop import LoadGenerator
from vanillamast_testing.operator_command import run_operator_command
from vanillamast_testing.platform_log_faults import PlatformLogFaults
from vanillamast_testing.request_record import RequestRecord
from vanillamast_testing.scenario_errors import (
    ScenarioStepError,
    ScenarioUnsupportedError,
)
from vanillamast_testing.scenario_values import (
    PLATFORM,
    ScenarioInstance,
    ScenarioMove,
    ScenarioTraffic,
)

REGION = "region"
START_TIMEOUT_S = 30.0
POST_REPEATS = 2


class FleetScenarioTarget:
    """Nodes, backend servers, callers and the log's stand-in as processes.

    Failure domains cannot be cut from each other, because processes on
    loopback reach all addresses; a cut from the platform closes the
    connections to the log's address of the failure domain.

    Attributes:
      fleet: The processes; its settings name all failure domains.
      directory: Folder of the configuration files.
      loads: Load generators of all started traffic.
      tasks: Running traffic and planned stops.
      paused: Instances that are paused.
      faults: Faults of the log, without cuts.
      cut_addresses: Addresses of the log that are cut.
    """

    def __init__(self, fleet: Fleet, directory: pathlib.Path):
        self.fleet = fleet
        self.directory = directory
        self.loads: list[LoadGenerator] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.paused: set[str] = set()
        self.faults = PlatformLogFaults()
        self.cut_addresses: list[str] = []

    def now(self) -> float:
        """Returns the time of the event loop."""
        return asyncio.get_running_loop().time()

    async def wait(self, seconds: float) -> None:
        """Lets time pass."""
        await asyncio.sleep(seconds)

    async def start(self, instances: Sequence[ScenarioInstance]) -> None:
        """Starts the log if it is not running, then the instances."""
        if not self.fleet.platform.running:
            await self.fleet.platform.start()
        first = len(self.fleet.instances)
        specs = [
            InstanceSpec(
                name=instance.name,
                region=REGION,
                failure_domain=instance.failure_domain,
                service=instance.service,
                version=instance.version,
                host=self.fleet.host(first + index),
                edge=instance.edge,
            )
            for index, instance in enumerate(instances)
        ]
        known = [i.spec for i in self.fleet.instances.values()]
        self.fleet.add(specs, choose_seeds([*known, *specs]))
        await self._start_and_wait([spec.name for spec in specs])

    async def publish(self, file: str, label: str) -> int:
        """Publishes a file with its services' server versions in effect.

        Raises:
          ScenarioStepError: The command fails.
        """
        wanted = load_configuration((self.directory / file).read_text())
        current = await self._configuration()
        services = {
            name: msgspec.structs.replace(
                service, version=current.services[name].version
            )
            if name in current.services
            else service
            for name, service in wanted.services.items()
        }
        wanted = msgspec.structs.replace(
            wanted, services=services, moves=current.moves
        )
        path = self.fleet.settings.directory / f"publish-{file}"
        path.write_text(dump_configuration(wanted))
        await self._run_command(
            f'publish "{path}"' + (label and f' as "{label}"')
        )
        status = await self._query("status")
        return status["version"]

    async def race(self, file: str, other: str) -> Sequence[int]:
        """Raises ScenarioUnsupportedError: commands cannot be aligned."""
        raise ScenarioUnsupportedError("processes cannot be made to race")

    async def move(self, move: ScenarioMove) -> None:
        """Starts a move."""
        await self._run_command(
            f"move {move.service} from {move.old} to {move.new} in "
            f"{move.deadline_s:g}s named {move.name}"
        )

    async def apply_move_action(self, action: str, move: str) -> None:
        """Takes the action "hold", "resume" or "stop" on a move."""
        await self._run_command(f"{action} move {move}")

    async def kill(self, instances: Sequence[str]) -> None:
        """Kills nodes and backend servers."""
        await asyncio.gather(
            *(self.fleet.instances[name].kill() for name in instances)
        )

    async def stop(self, instances: Sequence[str]) -> None:
        """Starts planned stops."""
        for name in instances:
            stop = self.fleet.instances[name].stop()
            self.tasks.append(asyncio.create_task(stop))

    async def restart(self, instances: Sequence[str]) -> None:
        """Starts instances again; running ones are killed before."""
        await self.kill(instances)
        await self._start_and_wait(instances)

    async def pause(self, instances: Sequence[str]) -> None:
        """Pauses nodes and backend servers."""
        self.paused |= set(instances)
        self._signal(instances, signal.SIGSTOP)

    async def resume(self, instances: Sequence[str]) -> None:
        """Resumes paused instances."""
        self.paused -= set(instances)
        self._signal(instances, signal.SIGCONT)

    async def drain(self, instance: str, drained: bool) -> None:
        """Begins or ends the drain of an instance."""
        await self._run_command(
            f"{'drain' if drained else 'undrain'} {instance}"
        )

    async def set_cuts(self, cuts: frozenset[frozenset[str]]) -> None:
        """Cuts failure domains from the platform.

        Raises:
          ScenarioUnsupportedError: A cut is between failure domains.
        """
        if any(PLATFORM not in pair for pair in cuts):
            raise ScenarioUnsupportedError(
                "processes on loopback cannot be cut from each other"
            )
        domains = sorted(d for pair in cuts for d in pair - {PLATFORM})
        self.cut_addresses = [
            self.fleet.log_address(domain) for domain in domains
        ]
        await self._set_faults()

    async def set_platform(self, faults: PlatformLogFaults) -> None:
        """Replaces the faults of the platform's log."""
        self.faults = faults
        await self._set_faults()

    async def set_badness(
        self, instances: Sequence[str], badness: Badness
    ) -> None:
        """Replaces the badness of backend servers."""
        body = msgspec.to_builtins(badness)
        for name in instances:
            address = self.fleet.instances[name].spec.backend
            answer = await self.fleet.client.post(
                address, "/control/badness", body
            )
            if answer != body:
                raise ScenarioStepError(f"{name} does not accept the badness")

    async def start_traffic(self, traffic: ScenarioTraffic) -> None:
        """Starts sending to all nodes that accept callers."""
        routes = (await self._configuration()).routes.values()
        edge = [route for route in routes if EDGE in route.callers]
        reads = tuple(r.path for r in edge if "GET" in r.methods)
        posts = tuple(r.path for r in edge if "POST" in r.methods)
        if traffic.post_share and not posts:
            raise ScenarioStepError("no route accepts callers' posts")
        specs = [i.spec for i in self.fleet.instances.values()]
        settings = LoadSettings(
            targets=tuple(spec.callers for spec in specs if spec.edge),
            rate=traffic.rate,
            duration_s=traffic.duration_s,
            reads=reads,
            posts=posts,
            post_share=traffic.post_share,
            repeats=POST_REPEATS,
            seed=len(self.loads) + 1,
        )
        load = LoadGenerator(settings)
        self.loads.append(load)
        self.tasks.append(asyncio.create_task(load.run()))

    async def finish_traffic(self) -> None:
        """Waits until requests and planned stops have ended."""
        tasks, self.tasks = self.tasks, []
        await asyncio.gather(*tasks)

    async def converged(self) -> bool:
        """Returns whether all nodes apply the newest version.

        That is the newest configuration version that any node knows.
        """
        nodes = [n for n in self.fleet.running() if n not in self.paused]
        statuses = await asyncio.gather(*map(self.fleet.status, nodes))
        known = [status for status in statuses if status is not None]
        if not known or len(known) < len(nodes):
            return False
        version = max(status["version"] for status in known)
        return version > 0 and all(
            status["applied_version"] == version for status in known
        )

    async def move_state(self, name: str) -> str:
        """Returns a move's state at the first node that answers."""
        answer = await self._query("moves")
        for move in answer["moves"]:
            if move["name"] == name:
                return move["state"]
        return ""

    async def version_at(self, instance: str) -> int:
        """Returns the configuration version that a node applies, 0 for none."""
        status = await self.fleet.status(instance)
        return status["applied_version"] if status else 0

    async def records(self) -> Sequence[RequestRecord]:
        """Returns the records of all requests so far."""
        return [record for load in self.loads for record in load.records]

    async def runs(self) -> Mapping[str, int]:
        """Returns how many times each request id ran."""
        total: collections.Counter[str] = collections.Counter()
        for name in self.fleet.instances:
            total.update(self._run_ids(name))
        return total

    async def runs_at(self, instance: str) -> int:
        """Returns the number of runs at a backend server."""
        return len(self._run_ids(instance))

    async def runs_by_version(self, service: str) -> Mapping[str, int]:
        """Returns the number of runs by backend server version."""
        total: collections.Counter[str] = collections.Counter()
        for name, instance in self.fleet.instances.items():
            if instance.spec.service == service:
                total[instance.spec.version] += len(self._run_ids(name))
        return total

    def _run_ids(self, name: str) -> list[str]:
        path = self.fleet.instances[name].run_log
        return path.read_text().splitlines() if path.exists() else []

    def _signal(self, names: Sequence[str], number: signal.Signals) -> None:
        for name in names:
            self.fleet.instances[name].node.send_signal(number)
            self.fleet.instances[name].server.send_signal(number)

    async def _start_and_wait(self, names: Sequence[str]) -> None:
        try:
            await self.fleet.start(list(names))
            await self.fleet.wait_for(
                list(names),
                lambda status: status["server_state"] == "serving",
                START_TIMEOUT_S,
            )
        except TimeoutError as error:
            raise ScenarioStepError(str(error)) from error

    async def _set_faults(self) -> None:
        faults = msgspec.structs.replace(self.faults, cut=self.cut_addresses)
        body = msgspec.to_builtins(faults)
        address = self.fleet.platform_address
        answer = await self.fleet.client.post(address, "/v1/faults", body)
        if answer != body:
            raise ScenarioStepError("the log does not take the faults")

    def _operator_address(self) -> str:
        """Returns the operators' address of a running node.

        Raises:
          ScenarioStepError: No node runs.
        """
        for name in self.fleet.running():
            spec = self.fleet.instances[name].spec
            cut = (
                self.fleet.log_address(spec.failure_domain)
                in self.cut_addresses
            )
            if name not in self.paused and not cut:
                return spec.operators
        raise ScenarioStepError("no node runs that reaches the platform")

    async def _query(self, name: str) -> dict[str, Any]:
        address = self._operator_address()
        answer = await self.fleet.client.get(address, f"/v1/{name}")
        if answer is None:
            raise ScenarioStepError(f"{address} does not answer")
        return answer

    async def _configuration(self) -> Configuration:
        answer = await self._query("configuration")
        return msgspec.convert(answer["configuration"], Configuration)

    async def _run_command(self, command: str) -> None:
        result = await run_operator_command(self._operator_address(), command)
        if result.status != 0:
            raise ScenarioStepError(f"{command}: {result.output.strip()}")
