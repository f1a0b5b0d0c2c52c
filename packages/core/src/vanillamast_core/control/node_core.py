"""The control plane of one node, without sockets and clocks."""

import random
from collections.abc import Callable, Iterable
from typing import Any, TypeAlias

import msgspec

from vanillamast_core.announcement import Announcement
from vanillamast_core.configuration import RoutingTable
from vanillamast_core.control.core_settings import CoreSettings
from vanillamast_core.control.data_plane import DataPlane, active_moves
from vanillamast_core.control.effects import (
    Append,
    Effect,
    Notice,
    OutcomeFolded,
    SetRoutes,
    SetSplit,
)
from vanillamast_core.control.events import (
    AttemptEnded,
    DialFailed,
    EntriesRead,
    Event,
    LinkDown,
    LinkUp,
    MessageReceived,
    RecordSubmitted,
    ServerReported,
    StopRequested,
    Tick,
)
from vanillamast_core.control.log_recovery import LogRecovery
from vanillamast_core.control.move_control import (
    MoveControl,
    group_by_shard,
)
from vanillamast_core.control.record_producer import (
    RecordProducer,
    parse_holder_instance,
)
from vanillamast_core.control.server_lease import ServerLease
from vanillamast_core.journal import (
    SHARDS,
    Journal,
    Outcome,
)
from vanillamast_core.journal.shard import LEASE_PREFIX
from vanillamast_core.moves import Move
from vanillamast_core.peers import (
    AlarmRaised,
    DirectoryChanged,
    EntriesApplied,
    EvidenceReceived,
    Mesh,
    PeerEffect,
    StateLoaded,
)

# A longer time between two ticks means that the process was paused.
PAUSE_THRESHOLD_S = 1.0

Handler: TypeAlias = Callable[["NodeCore", Any, float, float], None]
event_handlers: dict[type[Event], Handler] = {}
peer_handlers: dict[type, Handler] = {}


def on_event(kind: type[Event]) -> Callable[[Handler], Handler]:
    """Returns a decorator that registers the handler of an event."""

    def decorate(handler: Handler) -> Handler:
        event_handlers[kind] = handler
        return handler

    return decorate


def on_peer_effect(kind: type) -> Callable[[Handler], Handler]:
    """Returns a decorator that registers the handler of a mesh effect."""

    def decorate(handler: Handler) -> Handler:
        peer_handlers[kind] = handler
        return handler

    return decorate


class NodeCore:
    """Applies the log, talks to peers, drives moves, updates the request path.

    All decisions are made here; the node's tasks carry out the effects.

    Attributes:
      settings: Settings of the core.
      rng: Source of randomness.
      journal: The state derived from the log.
      mesh: Overlay and membership.
      data_plane: Derives the state of the request path.
      moves: Evidence, alarms and drivers.
      producer: Records that this node appends on its own.
      server: Lease of the local backend server.
      recovery: Closes gaps in the log.
      stopping: Whether the node is in a planned stop.
      awaited_records: Ids of submitted records without a known outcome.
      effects: Effects of the event that is being handled.
    """

    def __init__(self, settings: CoreSettings, rng: random.Random, wall: float):
        self.settings = settings
        self.rng = rng
        self.journal = Journal()
        own = initial_announcement(settings, wall)
        self.mesh = Mesh(settings.peers, own, rng, self.journal, settings.seeds)
        table = RoutingTable(settings.service, settings.edge)
        self.data_plane = DataPlane(table, self.mesh.directory)
        self.moves = MoveControl(settings, rng)
        self.producer = RecordProducer(
            settings, self.journal, self.mesh, self.moves, rng
        )
        self.server = ServerLease(settings.control.server_lease_s)
        self.recovery = LogRecovery(self.journal)
        self.stopping = False
        self.awaited_records: set[str] = set()
        self.effects: list[Effect] = []
        self._reported_moves: dict[int, Move] = {}
        # Looked up for every request that ends.
        self._active_by_service: dict[str, Move] = {}
        self._reported_dead: set[str] = set()
        self._last_tick: float | None = None
        self._next_drive = 0.0
        self._next_evidence = 0.0
        # Whether anything may have changed for the request path, or only the
        # backend servers of some services.
        self._request_path_stale = False
        self._changed_services: set[str] = set()

    def handle(self, event: Event, now: float, wall: float) -> list[Effect]:
        """Handles one event.

        Args:
          event: What happened.
          now: Monotonic time in seconds.
          wall: Wall time in seconds since the epoch.

        Returns:
          Effects to carry out in this order.
        """
        event_handlers[type(event)](self, event, now, wall)
        if self._request_path_stale or self._changed_services:
            self._update_request_path(now, wall)
        effects, self.effects = self.effects, []
        return effects

    def active_moves(self) -> list[Move]:
        """Returns the moves that have not ended."""
        return list(self._active_by_service.values())

    def is_alarmed(self, started_at: int) -> bool:
        """Returns whether an alarm rolled a move back."""
        return started_at in self.mesh.alarms.moves

    def outcome(self, record_id: str) -> Outcome | None:
        """Returns a record's outcome, None if not known or no longer kept."""
        return self.journal.state.outcomes.get(record_id)

    # Handlers of events.

    @on_event(Tick)
    def _handle_tick(self, event: Tick, now: float, wall: float) -> None:
        self._check_for_pause(now)
        self.server.expire(now)
        self._announce_changes(now, wall)
        self._handle_peer_effects(self.mesh.tick(now), now, wall)
        if now >= self._next_evidence:
            self._next_evidence = now + self.settings.control.evidence_period_s
            self._send_evidence(now, wall)
        if now >= self._next_drive:
            self._next_drive = now + self.settings.control.drive_period_s
            self._drive(now, wall)
        if not self.stopping:
            self.effects += self.producer.write_beacon(now)
        wake_at = self.data_plane.table.wake_at
        if wake_at is not None and now >= wake_at:
            self._request_path_stale = True

    @on_event(LinkUp)
    def _handle_link_up(self, event: LinkUp, now: float, wall: float) -> None:
        effects = self.mesh.handle_link_up(event.link_id, now, event.dialed)
        self._handle_peer_effects(effects, now, wall)

    @on_event(LinkDown)
    def _handle_link_down(
        self, event: LinkDown, now: float, wall: float
    ) -> None:
        self._handle_peer_effects(
            self.mesh.handle_link_down(event.link_id, now), now, wall
        )

    @on_event(DialFailed)
    def _handle_dial_failed(
        self, event: DialFailed, now: float, wall: float
    ) -> None:
        effects = self.mesh.handle_dial_failed(
            event.address, event.refused, now
        )
        self._handle_peer_effects(effects, now, wall)

    @on_event(MessageReceived)
    def _handle_message_received(
        self, event: MessageReceived, now: float, wall: float
    ) -> None:
        effects = self.mesh.handle_message(event.link_id, event.message, now)
        self._handle_peer_effects(effects, now, wall)

    @on_event(EntriesRead)
    def _handle_entries_read(
        self, event: EntriesRead, now: float, wall: float
    ) -> None:
        before = self.journal.offset
        entries = self.recovery.handle_read(
            event.first_offset, event.entries, event.more
        )
        if self.journal.offset > before:
            self._state_changed(now, wall)
            self._handle_peer_effects(
                self.mesh.handle_state_replaced(now), now, wall
            )
        if entries:
            self._handle_peer_effects(
                self.mesh.handle_entries_read(entries, now), now, wall
            )

    @on_event(ServerReported)
    def _handle_server_reported(
        self, event: ServerReported, now: float, wall: float
    ) -> None:
        self.server.renew(event.report, now)
        self._announce_changes(now, wall)

    @on_event(RecordSubmitted)
    def _handle_record_submitted(
        self, event: RecordSubmitted, now: float, wall: float
    ) -> None:
        known = self.outcome(event.record.id)
        if known is not None:
            self.effects.append(OutcomeFolded(known))
            return
        self.awaited_records.add(event.record.id)
        timeout_s = self.settings.control.append_patience_s
        self.effects.append(Append(event.record, timeout_s))

    @on_event(AttemptEnded)
    def _handle_attempt_ended(
        self, event: AttemptEnded, now: float, wall: float
    ) -> None:
        attempt = event.result
        move = self._active_by_service.get(attempt.service)
        if move is not None:
            self.moves.record_attempt(attempt, (move,), wall)

    @on_event(StopRequested)
    def _handle_stop_requested(
        self, event: StopRequested, now: float, wall: float
    ) -> None:
        self.stopping = True
        self.effects += self.producer.release_leases()
        self._handle_peer_effects(self.mesh.leave(now), now, wall)

    # Handlers of the mesh's effects.

    @on_peer_effect(EntriesApplied)
    def _handle_entries_applied(
        self, effect: EntriesApplied, now: float, wall: float
    ) -> None:
        for entry, result in zip(effect.entries, effect.results, strict=True):
            self.producer.observe_entry(entry, now)
            if isinstance(result, Outcome):
                self._report_refused_record(result)
        self._state_changed(now, wall)

    @on_peer_effect(StateLoaded)
    def _handle_state_loaded(
        self, effect: StateLoaded, now: float, wall: float
    ) -> None:
        self._state_changed(now, wall)

    @on_peer_effect(AlarmRaised)
    def _handle_alarm_raised(
        self, effect: AlarmRaised, now: float, wall: float
    ) -> None:
        fields = {"started_at": effect.started_at, "reason": effect.reason}
        self.effects.append(Notice("move.alarm", fields))
        self._request_path_stale = True

    @on_peer_effect(EvidenceReceived)
    def _handle_evidence_received(
        self, effect: EvidenceReceived, now: float, wall: float
    ) -> None:
        self.moves.add_evidence(effect.cells)

    @on_peer_effect(DirectoryChanged)
    def _handle_directory_changed(
        self, effect: DirectoryChanged, now: float, wall: float
    ) -> None:
        services = self.data_plane.table.services.keys()
        self._changed_services |= effect.services & services
        self._report_dead_instances()

    # Helpers of the handlers.

    def _handle_peer_effects(
        self, effects: Iterable[PeerEffect], now: float, wall: float
    ) -> None:
        """Handles effects of the mesh or passes them on."""
        for effect in effects:
            handler = peer_handlers.get(type(effect))
            if handler is not None:
                handler(self, effect, now, wall)
            else:
                self.effects.append(effect)  # type: ignore[arg-type]

    def _update_request_path(self, now: float, wall: float) -> None:
        """Emits what changed for the request path."""
        changed = (
            None
            if self._request_path_stale
            else frozenset(self._changed_services)
        )
        self._request_path_stale = False
        self._changed_services.clear()
        changes = self.data_plane.refresh(
            self.journal.state, self.is_alarmed, now, changed
        )
        for change in changes:
            self.effects.append(change)
            if isinstance(change, SetRoutes):
                self.effects.append(
                    Notice(
                        "configuration.applied",
                        {
                            "version": change.version,
                            "routes": len(change.routes),
                            "unready": list(change.unready),
                        },
                    )
                )
            elif isinstance(change, SetSplit):
                fields = msgspec.to_builtins(change)
                self.effects.append(Notice("move.share", fields))

    def _state_changed(self, now: float, wall: float) -> None:
        """Updates everything that depends on the log's state."""
        state = self.journal.state
        self.producer.update_leases(now)
        self.mesh.directory.set_drained(frozenset(state.drains))
        self.server.drained = self.settings.instance in state.drains
        self._announce_changes(now, wall)
        self.mesh.add_seeds([b.address for b in state.beacons.values()])
        self._report_awaited_outcomes()
        self._update_moves(state.moves.values())
        self._request_path_stale = True

    def _report_refused_record(self, outcome: Outcome) -> None:
        if not outcome.accepted and outcome.id:
            fields = msgspec.to_builtins(outcome)
            self.effects.append(Notice("record.refused", fields))

    def _report_awaited_outcomes(self) -> None:
        """Reports the outcomes of awaited records that are now known."""
        for record_id in list(self.awaited_records):
            outcome = self.outcome(record_id)
            if outcome is not None:
                self.awaited_records.discard(record_id)
                self.effects.append(OutcomeFolded(outcome))

    def _update_moves(self, moves: Iterable[Move]) -> None:
        current = {move.started_at: move for move in moves}
        for started_at, move in current.items():
            if self._reported_moves.get(started_at) == move:
                continue
            fields = {
                "move": move.name,
                "state": str(move.state),
                "step": move.step,
                "share": move.share,
                "reason": move.reason,
            }
            self.effects.append(Notice("move.changed", fields))
        self._reported_moves = current
        self._active_by_service = active_moves(self.journal.state)
        self.moves.forget(
            {m.started_at for m in self._active_by_service.values()}
        )
        self._update_drivers()

    def _update_drivers(self) -> None:
        """Tells the mesh which instance drives each shard's moves."""
        shards = group_by_shard(self.active_moves())
        for shard in range(SHARDS):
            lease = self.journal.state.leases.get(f"{LEASE_PREFIX}{shard}")
            moves = [m.started_at for m in shards.get(shard, [])]
            holder = parse_holder_instance(lease.holder) if lease else None
            self.mesh.set_driver(shard, holder if moves else None, moves)

    def _report_dead_instances(self) -> None:
        dead = self.mesh.directory.dead
        if dead == self._reported_dead:
            return
        for instance in sorted(dead - self._reported_dead):
            self.effects.append(Notice("instance.dead", {"instance": instance}))
        for instance in sorted(self._reported_dead - dead):
            self.effects.append(Notice("instance.back", {"instance": instance}))
        self._reported_dead = set(dead)

    def _check_for_pause(self, now: float) -> None:
        last, self._last_tick = self._last_tick, now
        if last is not None and now - last > PAUSE_THRESHOLD_S:
            self.server.extend_after_pause(now)
            self.effects.append(Notice("node.paused", {"pause_s": now - last}))

    def _announce_changes(self, now: float, wall: float) -> None:
        """Sends the instance's announcement to the mesh if it changed."""
        own = self.mesh.own
        announcement = self.server.to_announcement(own, wall)
        if announcement is own:
            return
        fields = {
            "state": announcement.state.name.lower(),
            "service": announcement.service,
            "version": announcement.server_version,
        }
        self.effects.append(Notice("server.state", fields))
        self._handle_peer_effects(
            self.mesh.announce(announcement, now), now, wall
        )

    def _send_evidence(self, now: float, wall: float) -> None:
        cells = self.moves.drain(wall)
        if cells:
            self._handle_peer_effects(
                self.mesh.add_evidence(cells, now), now, wall
            )

    def _drive(self, now: float, wall: float) -> None:
        """Raises alarms, drives moves and writes snapshots."""
        active = self.active_moves()
        for started_at, reason in self.moves.find_alarms(
            active, self.mesh.alarms.moves, self.mesh.directory, wall
        ):
            effects = self.mesh.raise_alarm(started_at, reason, now)
            self._handle_peer_effects(effects, now, wall)
            self.effects += self.producer.roll_back(started_at, reason, now)
        if self.stopping:
            return
        self.effects += self.producer.drive_moves(active, wall, now)
        self.effects += self.producer.write_snapshot(now)
        for event in self.moves.take_unreachable():
            fields = msgspec.to_builtins(event)
            self.effects.append(Notice("move.deadline_unreachable", fields))


def initial_announcement(settings: CoreSettings, wall: float) -> Announcement:
    """Returns the announcement of a node that starts."""
    return Announcement(
        instance=settings.instance,
        incarnation=int(wall * 1000),
        region=settings.region,
        failure_domain=settings.failure_domain,
        peer_address=settings.peer_address,
        operator_address=settings.operator_address,
        service=settings.service,
    )
