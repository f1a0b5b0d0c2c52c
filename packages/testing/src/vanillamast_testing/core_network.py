"""An in-memory network of complete control planes on a test clock."""

import random
import uuid

from vanillamast_core.configuration import (
    Change,
    Configuration,
    MoveSpec,
    SetMove,
    diff,
)
from vanillamast_core.control import (
    Append,
    AttemptEnded,
    CoreSettings,
    NodeCore,
    RecordSubmitted,
    ServerReported,
    StopRequested,
)
from vanillamast_core.journal import (
    Journal,
    LogEntry,
    Outcome,
    Publish,
    Record,
    SnapshotSettings,
    record_codec,
)
from vanillamast_core.peers import PeerEffect
from vanillamast_core.requests import AttemptOutcome, AttemptResult

from vanillamast_testing.core_adapter import WALL_START_S, CoreAdapter
from vanillamast_testing.peer_network import LOG_READ_S, PeerNetwork
from vanillamast_testing.simulated_node import SimulatedNode
from vanillamast_testing.simulated_server import SimulatedServer
from vanillamast_testing.traffic_counts import TrafficCounts

REPORT_S = 1.0
APPEND_S = 0.005
TRAFFIC_S = 0.5
READ_LIMIT = 500
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0
CALL_TIMEOUT_S = 3.0  # `PlatformSettings.timeout_s`.
LATENCY_SIGMA = 0.4  # Of the lognormal latency.


class CoreNetwork(PeerNetwork):
    """Nodes with their complete control plane, backend servers and callers.

    Attributes:
      servers: Backend servers by instance.
      services: Service of each instance.
      edges: Instances whose node accepts callers' requests.
      lose_answers: Share of appends whose answer is lost.
      lose_next: Number of next appends whose answer is lost.
      log_delay_s: Added to every call of the log.
      appends: Appends that took effect.
      reference: Journal of the whole log, unaffected by failures.
      accepted_at: Time at which each configuration version was accepted.
      authorized_shares: Highest share of a move in the log, by its start.
      rate: Requests a second for each route of each node.
      traffic: Counts of the requests by outcome.
      snapshots: Settings of snapshots of all nodes.
    """

    def __init__(self, seed: int, measure: bool = False):
        super().__init__(seed, measure=measure)
        self.servers: dict[str, SimulatedServer] = {}
        self.edges: set[str] = set()
        self.lose_answers = 0.0
        self.lose_next = 0
        self.log_delay_s = 0.0
        self.appends = 0
        self.reference = Journal()
        self.accepted_at: dict[int, float] = {}
        self.authorized_shares: dict[int, float] = {}
        self.rate = 0.0
        self.traffic = TrafficCounts()
        self.snapshots = SnapshotSettings()

    def add_instance(
        self,
        name: str,
        region: str,
        failure_domain: str,
        service: str,
        version: str = "1",
        edge: bool = False,
    ) -> SimulatedServer:
        """Adds an instance that is not started yet."""
        self.add(name, region, failure_domain, service)
        server = SimulatedServer(
            service, version, f"127.0.0.1:{len(self.servers) + 1}"
        )
        self.servers[name] = server
        if edge:
            self.edges.add(name)
        return server

    def start(self, name: str) -> None:
        """Starts a node's process with an empty state."""
        node = self.nodes[name]
        node.generation += 1
        node.paused = False
        node.reachable = True
        node.reads_log = False
        node.deferred.clear()
        rng = random.Random(self.rng.getrandbits(64))
        settings = self._settings(node)
        core = NodeCore(settings, rng, WALL_START_S + self.now)
        node.mesh = CoreAdapter(core, rng)  # type: ignore[assignment]
        node.store = core.journal  # type: ignore[assignment]
        self._schedule_tick(name, node.generation, self.rng.random() * 0.25)
        self._schedule_report(
            name, node.generation, self.rng.random() * REPORT_S
        )
        self._schedule_traffic(
            name, node.generation, self.rng.random() * TRAFFIC_S
        )

    def adapter(self, name: str) -> CoreAdapter:
        """Returns the control plane of a running node."""
        adapter = self.mesh(name)
        assert isinstance(adapter, CoreAdapter)
        return adapter

    def adapters(self) -> dict[str, CoreAdapter]:
        """Returns the control planes of all running nodes."""
        return {name: self.adapter(name) for name in self.running_nodes()}

    def append_record(self, record: Record) -> LogEntry:
        """Appends a record to the log at once."""
        entry = self.append(record_codec.encode(record))
        self.appends += 1
        before = self.reference.state.version
        self.reference.apply(entry)
        if self.reference.state.version != before:
            self.accepted_at[self.reference.state.version] = self.now
        for move in self.reference.state.moves.values():
            known = self.authorized_shares.get(move.started_at, 0.0)
            self.authorized_shares[move.started_at] = max(known, move.share)
        return entry

    def submit(self, name: str, record: Record) -> None:
        """Submits a record through a node, as an operator does."""
        event = RecordSubmitted(record)
        self.call(name, lambda core, now: core.handle(event, now))  # type: ignore[attr-defined]

    def publish(
        self, name: str, changes: tuple[Change, ...], based_on: int
    ) -> str:
        """Publishes changes, as an operator does; returns the record's id."""
        record_id = str(uuid.UUID(int=self.rng.getrandbits(128), version=4))
        record = Publish(id=record_id, based_on=based_on, changes=changes)
        self.submit(name, record)
        return record_id

    def publish_all(self, name: str, wanted: Configuration) -> str:
        """Publishes a whole configuration, as an operator does."""
        core = self.adapter(name).core
        changes = tuple(diff(core.journal.state.configuration, wanted))
        return self.publish(name, changes, core.journal.offset)

    def start_move(self, name: str, move: str, spec: MoveSpec) -> str:
        """Starts a move, as an operator does."""
        offset = self.adapter(name).core.journal.offset
        return self.publish(name, (SetMove(move, spec),), offset)

    def outcome(self, record_id: str) -> Outcome | None:
        """Returns a record's outcome in the reference journal."""
        return self.reference.state.outcomes.get(record_id)

    def stop(self, name: str) -> None:
        """Starts a planned stop of a node."""
        self.call(name, lambda core, now: core.handle(StopRequested(), now))  # type: ignore[attr-defined]

    def kill_instance(self, name: str) -> None:
        """Kills node and backend server, as a machine failure does."""
        self.kill(name, machine=True)
        self.servers[name].running = False

    def start_instance(self, name: str) -> None:
        """Starts the backend server and the node."""
        self.servers[name].running = True
        self.servers[name].paused = False
        self.start(name)

    def drop_log(self, keep: int) -> None:
        """Drops all but the last entries of the log, as its retention does."""
        self.first_retained = max(self.first_retained, len(self.log) - keep + 1)

    def violations(self) -> list[str]:
        """Returns the violated invariants of all running nodes."""
        found = []
        for name, adapter in self.adapters().items():
            found += [f"{name}: {text}" for text in adapter.violations]
            found += [
                f"{name}: {text}" for text in self._exposure_violations(adapter)
            ]
        return found

    def _exposure_violations(self, adapter: CoreAdapter) -> list[str]:
        """Returns traffic shares above the highest that the log authorized."""
        found = []
        for service, split in adapter.splits.items():
            for move in adapter.core.active_moves():
                if move.spec.service != service:
                    continue
                allowed = self.authorized_shares.get(move.started_at, 0.0)
                if adapter.core.is_alarmed(move.started_at):
                    allowed = 0.0
                if split.share > allowed:
                    found.append(
                        f"bounded-exposure: {split.share} above {allowed}"
                    )
        return found

    def _settings(self, node: SimulatedNode) -> CoreSettings:
        own = node.announcement
        return CoreSettings(
            instance=own.instance,
            region=own.region,
            failure_domain=own.failure_domain,
            service=own.service,
            edge=own.instance in self.edges,
            peer_address=own.peer_address,
            operator_address="",
            holder=f"{own.instance}/{node.generation}",
            seeds=tuple(self.seeds),
            peers=self.settings,
            snapshots=self.snapshots,
        )

    def _execute_effect(
        self, name: str, node: SimulatedNode, effect: PeerEffect | Append
    ) -> None:
        if isinstance(effect, Append):
            until = self.now + effect.timeout_s
            generation = node.generation
            self.call_later(
                APPEND_S + self.log_delay_s,
                lambda: self._try_append(name, generation, effect, until),
            )
            return
        super()._execute_effect(name, node, effect)

    def _try_append(
        self, name: str, generation: int, effect: Append, until: float
    ) -> None:
        node = self.nodes[name]
        if node.generation != generation or self.now > until:
            return
        if node.paused:
            node.deferred.append(
                lambda: self._try_append(name, generation, effect, until)
            )
            return
        if self.adapter(name).core.outcome(effect.record.id) is not None:
            return
        if self.log_up and not node.log_cut:
            self.append_record(effect.record)
            if not self._loses_answer():
                return
        wait = self.rng.uniform(RETRY_MIN_S, RETRY_MAX_S) + self.log_delay_s
        self.call_later(
            wait, lambda: self._try_append(name, generation, effect, until)
        )

    def _loses_answer(self) -> bool:
        if self.lose_next > 0:
            self.lose_next -= 1
            return True
        if self.log_delay_s >= CALL_TIMEOUT_S:
            return True
        return self.rng.random() < self.lose_answers

    def _schedule_read(self, name: str, node: SimulatedNode) -> None:
        generation = node.generation
        delay = LOG_READ_S * (0.5 + self.rng.random()) + self.log_delay_s
        self.call_later(delay, lambda: self._read(name, generation))

    def _read(self, name: str, generation: int) -> None:
        node = self.nodes[name]
        if node.generation != generation or not node.reads_log:
            return
        if not self.log_up or node.log_cut:
            return
        if node.paused:
            node.deferred.append(lambda: self._read(name, generation))
            return
        after = self.adapter(name).core.recovery.last_read_offset()
        start = max(after, self.first_retained - 1)
        entries = self.log[start : start + READ_LIMIT]
        if not entries:
            return
        more = start + len(entries) < len(self.log)
        first = self.first_retained
        self.call(
            name,
            lambda core, now: core.handle_log_entries_read(  # type: ignore[attr-defined]
                first, entries, more, now
            ),
        )
        if more:
            self._schedule_read(name, node)

    def _schedule_report(
        self, name: str, generation: int, delay: float
    ) -> None:
        self.call_later(delay, lambda: self._report(name, generation))

    def _report(self, name: str, generation: int) -> None:
        if self.nodes[name].generation != generation:
            return
        server = self.servers[name]
        if server.running and not server.paused:
            event = ServerReported(server.report())
            self.call(name, lambda core, now: core.handle(event, now))  # type: ignore[attr-defined]
        self._schedule_report(name, generation, REPORT_S)

    def _schedule_traffic(
        self, name: str, generation: int, delay: float
    ) -> None:
        self.call_later(delay, lambda: self._send_traffic(name, generation))

    def _send_traffic(self, name: str, generation: int) -> None:
        node = self.nodes[name]
        if node.generation != generation:
            return
        self._schedule_traffic(name, generation, TRAFFIC_S)
        if not self.rate or node.paused:
            return
        adapter = self.adapter(name)
        expected = self.rate * TRAFFIC_S
        for route, config in sorted(adapter.routes.items()):
            count = int(expected) + (self.rng.random() < expected % 1)
            for _ in range(count):
                self._request(name, adapter, route, config.service)

    def _request(
        self, name: str, adapter: CoreAdapter, route: str, service: str
    ) -> None:
        chosen = adapter.choose_server(service)
        if chosen is None:
            self.traffic.refused += 1
            return
        result = self._attempt(name, route, chosen.instance)
        self.traffic.count(result, self.now)
        event = AttemptEnded(result)
        self.call(name, lambda core, now: core.handle(event, now))  # type: ignore[attr-defined]

    def _attempt(self, name: str, route: str, instance: str) -> AttemptResult:
        server = self.servers[instance]
        reached = server.running and not self.separated(name, instance)
        bad = server.is_bad(route, self.now)
        ratio = server.bad_failure_ratio if bad else server.failure_ratio
        factor = server.bad_latency_factor if bad else 1.0
        latency_s = self.rng.lognormvariate(0.0, LATENCY_SIGMA)
        latency_s *= server.latency_s * factor
        failed = self.rng.random() < ratio
        outcome = AttemptOutcome.ANSWERED
        if not reached:
            outcome = AttemptOutcome.CONNECT_FAILED
        elif server.paused:
            outcome = AttemptOutcome.TIMED_OUT
        else:
            server.served += 1
        return AttemptResult(
            route=route,
            service=server.service,
            server_version=server.version,
            instance=instance,
            failure_domain=self.nodes[instance].announcement.failure_domain,
            connected=reached,
            outcome=outcome,
            status=503 if failed else 200,
            latency_s=latency_s,
            cold=False,
        )
