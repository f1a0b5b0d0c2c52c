"""Runs scenarios on complete control planes on a test clock."""

import collections
import pathlib
import uuid
from collections.abc import Mapping, Sequence

import msgspec
from vanillamast_core.configuration import (
    EDGE,
    Configuration,
    MoveSpec,
    load_configuration,
)
from vanillamast_core.journal import (
    DrainInstance,
    HoldMove,
    Outcome,
    Record,
    ResumeMove,
    StopMove,
)

from vanillamast_testing.badness import Badness
from vanillamast_testing.core_adapter import WALL_START_S
from vanillamast_testing.platform_log_faults import PlatformLogFaults
from vanillamast_testing.request_record import RequestRecord
from vanillamast_testing.scenario_errors import (
    ScenarioInvariantError,
    ScenarioStepError,
)
from vanillamast_testing.scenario_network import ScenarioNetwork
from vanillamast_testing.scenario_values import (
    PLATFORM,
    ScenarioInstance,
    ScenarioMove,
    ScenarioTraffic,
)
from vanillamast_testing.simulated_caller import SimulatedCaller

REGION = "region"
SEEDS_PER_DOMAIN = 2
START_WAIT_S = 2.0
POLL_S = 0.1
MIN_STEP_S = 1e-6
OUTCOME_TIMEOUT_S = 60.0
TRAFFIC_TIMEOUT_S = 60.0  # Beyond the end of the sending.
SHOWN_VIOLATIONS = 3

_ACTION_RECORDS: dict[str, type[Record]] = {
    "hold": HoldMove,
    "resume": ResumeMove,
    "stop": StopMove,
}


class CoreScenarioTarget:
    """Real control planes and routers in memory; simulated servers and callers.

    All failure domains are in one region. Invariants of the nodes are checked
    after every step of the clock; a broken one ends the scenario.

    Attributes:
      network: Nodes, links, log, backend servers and callers.
      directory: Folder of the configuration files.
      instances: Started instances by name.
      callers: Callers of all started traffic.
      cuts: Pairs that are cut now.
    """

    def __init__(
        self,
        seed: int,
        directory: pathlib.Path,
        network_type: type[ScenarioNetwork] = ScenarioNetwork,
    ):
        self.network = network_type(seed)
        self.directory = directory
        self.instances: dict[str, ScenarioInstance] = {}
        self.callers: list[SimulatedCaller] = []
        self.cuts: frozenset[frozenset[str]] = frozenset()

    def now(self) -> float:
        """Returns the time of the test clock."""
        return self.network.now

    async def wait(self, seconds: float) -> None:
        """Lets time pass.

        Raises:
          ScenarioInvariantError: A node breaks an invariant.
        """
        # A smaller step may be lost in rounding, and the clock would not move.
        end = self.network.now + max(seconds, MIN_STEP_S)
        while (rest := end - self.network.now) > MIN_STEP_S / 2:
            self.network.run(min(POLL_S, rest))
            if found := self.network.violations():
                shown = "; ".join(found[:SHOWN_VIOLATIONS])
                raise ScenarioInvariantError(shown)

    async def start(self, instances: Sequence[ScenarioInstance]) -> None:
        """Starts instances and waits until their nodes run."""
        for instance in instances:
            self.instances[instance.name] = instance
            self.network.add_instance(
                instance.name,
                REGION,
                instance.failure_domain,
                instance.service,
                instance.version,
                instance.edge,
            )
            self._add_seed(instance)
        for instance in instances:
            self.network.start_instance(instance.name)
        self._apply_platform_cuts()
        await self.wait(START_WAIT_S)

    async def publish(self, file: str, label: str) -> int:
        """Publishes a configuration file; returns the version's offset.

        Raises:
          ScenarioStepError: The file is refused.
        """
        node = self._operator_nodes()[0]
        wanted = self._load_wanted(file, node)
        record_id = self.network.publish_all(node, wanted)
        return _accepted_offset(await self._wait_for_outcome(record_id))

    async def race(self, file: str, other: str) -> list[int]:
        """Publishes two files at once through two nodes."""
        first, *_, last = self._operator_nodes()
        ids = [
            self.network.publish_all(node, self._load_wanted(name, first))
            for node, name in ((first, file), (last, other))
        ]
        outcomes = [
            await self._wait_for_outcome(record_id) for record_id in ids
        ]
        return [o.offset for o in outcomes if o.accepted]

    async def move(self, move: ScenarioMove) -> None:
        """Starts a move.

        Raises:
          ScenarioStepError: The move is refused.
        """
        spec = MoveSpec(
            service=move.service,
            old=move.old,
            new=move.new,
            deadline=WALL_START_S + self.network.now + move.deadline_s,
        )
        node = self._operator_nodes()[0]
        record_id = self.network.start_move(node, move.name, spec)
        _accepted_offset(await self._wait_for_outcome(record_id))

    async def apply_move_action(self, action: str, move: str) -> None:
        """Takes the action "hold", "resume" or "stop" on a move.

        Raises:
          ScenarioStepError: The action is refused.
        """
        kind = _ACTION_RECORDS[action]
        node = self._operator_nodes()[0]
        offset = self.network.adapter(node).core.journal.offset
        record = kind(id=self._new_record_id(), based_on=offset, move=move)  # type: ignore[call-arg]
        self.network.submit(node, record)
        _accepted_offset(await self._wait_for_outcome(record.id))

    async def kill(self, instances: Sequence[str]) -> None:
        """Kills instances, all at the same moment."""
        for name in instances:
            self.network.kill_instance(name)

    async def stop(self, instances: Sequence[str]) -> None:
        """Starts planned stops."""
        for name in instances:
            self.network.stop_instance(name)

    async def restart(self, instances: Sequence[str]) -> None:
        """Starts instances again, all at the same moment."""
        for name in instances:
            if self.network.nodes[name].mesh is not None:
                self.network.kill_instance(name)
            self.network.start_instance(name)
        self._apply_platform_cuts()

    async def pause(self, instances: Sequence[str]) -> None:
        """Pauses nodes and backend servers."""
        for name in instances:
            self.network.pause_instance(name)

    async def resume(self, instances: Sequence[str]) -> None:
        """Resumes paused instances."""
        for name in instances:
            self.network.resume_instance(name)

    async def drain(self, instance: str, drained: bool) -> None:
        """Begins or ends the drain of an instance.

        Raises:
          ScenarioStepError: The record is refused.
        """
        node = self._operator_nodes()[0]
        record = DrainInstance(
            id=self._new_record_id(),
            based_on=self.network.adapter(node).core.journal.offset,
            instance=instance,
            drained=drained,
        )
        self.network.submit(node, record)
        _accepted_offset(await self._wait_for_outcome(record.id))

    async def set_cuts(self, cuts: frozenset[frozenset[str]]) -> None:
        """Cuts exactly these pairs from each other."""
        self.cuts = cuts
        self.network.block(pair for pair in cuts if PLATFORM not in pair)
        self._apply_platform_cuts()
        self.network.set_log(self.network.log_up)

    async def set_platform(self, faults: PlatformLogFaults) -> None:
        """Replaces the faults of the platform's log."""
        self.network.log_delay_s = faults.delay_s
        self.network.lose_next = faults.lose_next
        self.network.lose_answers = faults.lose_share
        self.network.set_log(not faults.outage)

    async def set_badness(
        self, instances: Sequence[str], badness: Badness
    ) -> None:
        """Replaces the badness of backend servers."""
        for name in instances:
            self.network.backends[name].set_badness(badness)

    async def start_traffic(self, traffic: ScenarioTraffic) -> None:
        """Starts sending to all nodes that accept callers.

        Raises:
          ScenarioStepError: No route accepts callers' requests.
        """
        routes = self.network.reference.state.configuration.routes.values()
        edge = [route for route in routes if EDGE in route.callers]
        reads = [route.path for route in edge if "GET" in route.methods]
        posts = [route.path for route in edge if "POST" in route.methods]
        targets = [i.name for i in self.instances.values() if i.edge]
        if not targets or not reads:
            raise ScenarioStepError("no node or route accepts callers' reads")
        if traffic.post_share and not posts:
            raise ScenarioStepError("no route accepts callers' posts")
        self.callers.append(
            SimulatedCaller(self.network, traffic, targets, reads, posts)
        )

    async def finish_traffic(self) -> None:
        """Waits until all requests have ended.

        Raises:
          ScenarioStepError: Some do not end.
        """
        limit: float | None = None
        while unfinished := sum(caller.unfinished for caller in self.callers):
            if all(c.all_sent for c in self.callers):
                limit = limit or self.network.now + TRAFFIC_TIMEOUT_S
                if self.network.now > limit:
                    raise ScenarioStepError(f"{unfinished} requests do not end")
            await self.wait(POLL_S)

    async def converged(self) -> bool:
        """Returns whether all nodes apply the current configuration version."""
        state = self.network.reference.state
        nodes = self._running()
        holders = [n for n in nodes if self._applies_current_version(n)]
        return state.version > 0 and not any(
            self._can_receive_version(name, holders)
            for name in nodes
            if name not in holders
        )

    async def move_state(self, name: str) -> str:
        """Returns a move's state at the node with the most log entries."""
        nodes = self._running()
        if not nodes:
            return ""
        journals = [self.network.adapter(n).core.journal for n in nodes]
        newest = max(journals, key=lambda journal: journal.offset)
        move = newest.state.moves.get(name)
        return str(move.state) if move else ""

    async def version_at(self, instance: str) -> int:
        """Returns the configuration version that a node applies, 0 for none."""
        if self.network.nodes[instance].mesh is None:
            return 0
        return self.network.adapter(instance).version

    async def records(self) -> list[RequestRecord]:
        """Returns the records of all requests so far."""
        return [r for caller in self.callers for r in caller.records]

    async def runs(self) -> Mapping[str, int]:
        """Returns how many times each request id ran."""
        total: collections.Counter[str] = collections.Counter()
        for backend in self.network.backends.values():
            total.update(backend.runs)
        return total

    async def runs_at(self, instance: str) -> int:
        """Returns the number of runs at a backend server."""
        return self.network.backends[instance].runs.total()

    async def runs_by_version(self, service: str) -> Mapping[str, int]:
        """Returns the number of runs by backend server version."""
        total: collections.Counter[str] = collections.Counter()
        for name, instance in self.instances.items():
            if instance.service == service:
                runs = self.network.backends[name].runs.total()
                total[instance.version] += runs
        return total

    def _add_seed(self, instance: ScenarioInstance) -> None:
        domain = [
            i
            for i in self.instances.values()
            if i.failure_domain == instance.failure_domain
        ]
        if len(domain) <= SEEDS_PER_DOMAIN:
            self.network.seeds.append(f"{instance.name}:1")

    def _apply_platform_cuts(self) -> None:
        for name, instance in self.instances.items():
            pair = frozenset((instance.failure_domain, PLATFORM))
            self.network.nodes[name].log_cut = pair in self.cuts

    def _running(self) -> list[str]:
        nodes = self.network.nodes
        return [n for n in self.network.running_nodes() if not nodes[n].paused]

    def _operator_nodes(self) -> list[str]:
        """Returns nodes for operators, those that reach the platform first.

        Raises:
          ScenarioStepError: No node runs.
        """
        nodes = self._running()
        if not nodes:
            raise ScenarioStepError("no node runs")
        return sorted(nodes, key=lambda n: self.network.nodes[n].log_cut)

    def _load_wanted(self, file: str, node: str) -> Configuration:
        """Returns a file's configuration with the server versions in effect.

        Moves change server versions, and a file that still names the old ones
        would move the traffic back at once.
        """
        text = (self.directory / file).read_text()
        wanted = load_configuration(text)
        current = self.network.adapter(node).core.journal.state.configuration
        services = {
            name: msgspec.structs.replace(
                service, version=current.services[name].version
            )
            if name in current.services
            else service
            for name, service in wanted.services.items()
        }
        return msgspec.structs.replace(
            wanted, services=services, moves=current.moves
        )

    def _new_record_id(self) -> str:
        return str(uuid.UUID(int=self.network.rng.getrandbits(128), version=4))

    async def _wait_for_outcome(self, record_id: str) -> Outcome:
        end = self.network.now + OUTCOME_TIMEOUT_S
        while self.network.now < end:
            await self.wait(POLL_S)
            outcome = self.network.outcome(record_id)
            if outcome is not None:
                return outcome
        raise ScenarioStepError("the outcome of the record is not known")

    def _applies_current_version(self, name: str) -> bool:
        state = self.network.reference.state
        adapter = self.network.adapter(name)
        table = adapter.core.data_plane.table
        return (
            adapter.version == state.version
            and adapter.routes == table.select_routes(state.configuration)
        )

    def _can_receive_version(self, name: str, holders: Sequence[str]) -> bool:
        if self.network.log_up and not self.network.nodes[name].log_cut:
            return True
        return any(not self.network.separated(name, h) for h in holders)


def _accepted_offset(outcome: Outcome) -> int:
    if not outcome.accepted:
        raise ScenarioStepError(f"refused: {outcome.reason}")
    return outcome.offset
