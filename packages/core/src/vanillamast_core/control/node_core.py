"""The control side of one node, without sockets and clock."""

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
from vanillamast_core.control.log_duties import LogDuties, holder_instance
from vanillamast_core.control.log_recovery import LogRecovery
from vanillamast_core.control.move_control import (
    MoveControl,
    moves_by_shard,
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

# A tick that comes later than this says that the process was paused.
PAUSE_S = 1.0

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
    """Returns a decorator for effects of the mesh that the core handles."""

    def decorate(handler: Handler) -> Handler:
        peer_handlers[kind] = handler
        return handler

    return decorate


class NodeCore:
    """Folds the log, talks to peers, drives moves and feeds the request path.

    All decisions are taken here; the tasks of the node carry out effects.

    Attributes:
      settings: Settings of the control side.
      rng: Source of randomness.
      journal: The fold of the log.
      mesh: Overlay and membership.
      data_plane: What the request path was told.
      moves: Evidence, alarms and drivers.
      duties: What this node appends to the log of its own accord.
      server: Lease of the backend server.
      recovery: Closes gaps of the log.
      stopping: Whether the node is in a planned stop.
      waiting: Ids of records whose outcomes are awaited.
    """

    def __init__(self, settings: CoreSettings, rng: random.Random, wall: float):
        self.settings = settings
        self.rng = rng
        self.journal = Journal()
        own = first_announcement(settings, wall)
        self.mesh = Mesh(settings.peers, own, rng, self.journal, settings.seeds)
        table = RoutingTable(settings.service, settings.edge)
        self.data_plane = DataPlane(table, self.mesh.directory)
        self.moves = MoveControl(settings, rng)
        self.duties = LogDuties(
            settings, self.journal, self.mesh, self.moves, rng
        )
        self.server = ServerLease(settings.control.server_lease_s)
        self.recovery = LogRecovery(self.journal)
        self.stopping = False
        self.waiting: set[str] = set()
        self.out: list[Effect] = []
        self._known_moves: dict[int, Move] = {}
        # By service; looked up for every request that ends.
        self._active: dict[str, Move] = {}
        self._known_dead: set[str] = set()
        self._last_tick: float | None = None
        self._next_drive = 0.0
        self._next_evidence = 0.0
        # Anything may have changed for the request path, or only the backend
        # servers of some services.
        self._dirty = False
        self._changed_services: set[str] = set()

    def handle(self, event: Event, now: float, wall: float) -> list[Effect]:
        """Takes one event.

        Args:
          event: What happened.
          now: Monotonic time in seconds.
          wall: Wall time in seconds since the epoch.

        Returns:
          What is to be done, in this order.
        """
        event_handlers[type(event)](self, event, now, wall)
        if self._dirty or self._changed_services:
            self._refresh(now, wall)
        effects, self.out = self.out, []
        return effects

    def active_moves(self) -> list[Move]:
        """Returns the moves that are not over."""
        return list(self._active.values())

    def is_alarmed(self, started_at: int) -> bool:
        """Returns whether an alarm took a move back."""
        return started_at in self.mesh.alarms.moves

    def outcome(self, record_id: str) -> Outcome | None:
        """Returns the outcome of a record, if it is folded and remembered."""
        return self.journal.state.outcomes.get(record_id)

    # Events.

    @on_event(Tick)
    def _on_tick(self, event: Tick, now: float, wall: float) -> None:
        self._notice_pause(now)
        self.server.expire(now)
        self._announce(now, wall)
        self._take(self.mesh.tick(now), now, wall)
        if now >= self._next_evidence:
            self._next_evidence = now + self.settings.control.evidence_period_s
            self._send_evidence(now, wall)
        if now >= self._next_drive:
            self._next_drive = now + self.settings.control.drive_period_s
            self._drive(now, wall)
        if not self.stopping:
            self.out += self.duties.beacon(now)
        wake_at = self.data_plane.table.wake_at
        if wake_at is not None and now >= wake_at:
            self._dirty = True

    @on_event(LinkUp)
    def _on_link_up(self, event: LinkUp, now: float, wall: float) -> None:
        effects = self.mesh.handle_link_up(event.link, now, event.dialed)
        self._take(effects, now, wall)

    @on_event(LinkDown)
    def _on_link_down(self, event: LinkDown, now: float, wall: float) -> None:
        self._take(self.mesh.handle_link_down(event.link, now), now, wall)

    @on_event(DialFailed)
    def _on_dial_failed(
        self, event: DialFailed, now: float, wall: float
    ) -> None:
        effects = self.mesh.handle_dial_failed(
            event.address, event.refused, now
        )
        self._take(effects, now, wall)

    @on_event(MessageReceived)
    def _on_message(
        self, event: MessageReceived, now: float, wall: float
    ) -> None:
        effects = self.mesh.handle_message(event.link, event.message, now)
        self._take(effects, now, wall)

    @on_event(EntriesRead)
    def _on_entries_read(
        self, event: EntriesRead, now: float, wall: float
    ) -> None:
        before = self.journal.offset
        entries = self.recovery.offer(event.first, event.entries, event.more)
        if self.journal.offset > before:
            self._state_changed(now, wall)
            self._take(self.mesh.handle_state_replaced(now), now, wall)
        if entries:
            self._take(self.mesh.handle_entries_read(entries, now), now, wall)

    @on_event(ServerReported)
    def _on_server_reported(
        self, event: ServerReported, now: float, wall: float
    ) -> None:
        self.server.renew(event.report, now)
        self._announce(now, wall)

    @on_event(RecordSubmitted)
    def _on_record_submitted(
        self, event: RecordSubmitted, now: float, wall: float
    ) -> None:
        known = self.outcome(event.record.id)
        if known is not None:
            self.out.append(OutcomeFolded(known))
            return
        self.waiting.add(event.record.id)
        timeout_s = self.settings.control.append_patience_s
        self.out.append(Append(event.record, timeout_s))

    @on_event(AttemptEnded)
    def _on_attempt_ended(
        self, event: AttemptEnded, now: float, wall: float
    ) -> None:
        attempt = event.result
        move = self._active.get(attempt.service)
        if move is not None:
            self.moves.observe(attempt, (move,), wall)

    @on_event(StopRequested)
    def _on_stop(self, event: StopRequested, now: float, wall: float) -> None:
        self.stopping = True
        self.out += self.duties.release()
        self._take(self.mesh.leave(now), now, wall)

    # Effects of the mesh that concern the core.

    @on_peer_effect(EntriesApplied)
    def _on_entries_applied(
        self, effect: EntriesApplied, now: float, wall: float
    ) -> None:
        for entry, result in zip(effect.entries, effect.results, strict=True):
            self.duties.observe_entry(entry, now)
            if isinstance(result, Outcome):
                self._note_outcome(result)
        self._state_changed(now, wall)

    @on_peer_effect(StateLoaded)
    def _on_state_loaded(
        self, effect: StateLoaded, now: float, wall: float
    ) -> None:
        self._state_changed(now, wall)

    @on_peer_effect(AlarmRaised)
    def _on_alarm(self, effect: AlarmRaised, now: float, wall: float) -> None:
        fields = {"started_at": effect.started_at, "reason": effect.reason}
        self.out.append(Notice("move.alarm", fields))
        self._dirty = True

    @on_peer_effect(EvidenceReceived)
    def _on_evidence(
        self, effect: EvidenceReceived, now: float, wall: float
    ) -> None:
        self.moves.add(effect.cells)

    @on_peer_effect(DirectoryChanged)
    def _on_directory_changed(
        self, effect: DirectoryChanged, now: float, wall: float
    ) -> None:
        services = self.data_plane.table.services.keys()
        self._changed_services |= effect.services & services
        self._note_deaths()

    # Parts of the above.

    def _take(
        self, effects: Iterable[PeerEffect], now: float, wall: float
    ) -> None:
        """Handles effects of the mesh or passes them on."""
        for effect in effects:
            handler = peer_handlers.get(type(effect))
            if handler is not None:
                handler(self, effect, now, wall)
            else:
                self.out.append(effect)  # type: ignore[arg-type]

    def _refresh(self, now: float, wall: float) -> None:
        """Tells the request path what changed."""
        changed = None if self._dirty else frozenset(self._changed_services)
        self._dirty = False
        self._changed_services.clear()
        changes = self.data_plane.refresh(
            self.journal.state, self.is_alarmed, now, changed
        )
        for change in changes:
            self.out.append(change)
            if isinstance(change, SetRoutes):
                self.out.append(
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
                self.out.append(Notice("move.share", fields))

    def _state_changed(self, now: float, wall: float) -> None:
        """Compares the folded state with what was known before."""
        state = self.journal.state
        self.duties.observe_leases(now)
        self.mesh.directory.set_drained(frozenset(state.drains))
        self.server.drained = self.settings.instance in state.drains
        self._announce(now, wall)
        self.mesh.add_seeds([b.address for b in state.beacons.values()])
        self._note_awaited()
        self._note_moves(state.moves.values())
        self._dirty = True

    def _note_outcome(self, outcome: Outcome) -> None:
        if not outcome.accepted and outcome.id:
            fields = msgspec.to_builtins(outcome)
            self.out.append(Notice("record.refused", fields))

    def _note_awaited(self) -> None:
        """Answers those who wait for outcomes that are known now."""
        for record_id in list(self.waiting):
            outcome = self.outcome(record_id)
            if outcome is not None:
                self.waiting.discard(record_id)
                self.out.append(OutcomeFolded(outcome))

    def _note_moves(self, moves: Iterable[Move]) -> None:
        current = {move.started_at: move for move in moves}
        for started_at, move in current.items():
            if self._known_moves.get(started_at) == move:
                continue
            fields = {
                "move": move.name,
                "state": str(move.state),
                "step": move.step,
                "share": move.share,
                "reason": move.reason,
            }
            self.out.append(Notice("move.changed", fields))
        self._known_moves = current
        self._active = active_moves(self.journal.state)
        self.moves.forget({m.started_at for m in self._active.values()})
        self._name_drivers()

    def _name_drivers(self) -> None:
        """Tells the mesh where each shard's evidence goes."""
        shards = moves_by_shard(self.active_moves())
        for shard in range(SHARDS):
            lease = self.journal.state.leases.get(f"{LEASE_PREFIX}{shard}")
            moves = [m.started_at for m in shards.get(shard, [])]
            holder = holder_instance(lease.holder) if lease else None
            self.mesh.set_driver(shard, holder if moves else None, moves)

    def _note_deaths(self) -> None:
        dead = self.mesh.directory.dead
        if dead == self._known_dead:
            return
        for instance in sorted(dead - self._known_dead):
            self.out.append(Notice("instance.dead", {"instance": instance}))
        for instance in sorted(self._known_dead - dead):
            self.out.append(Notice("instance.back", {"instance": instance}))
        self._known_dead = set(dead)

    def _notice_pause(self, now: float) -> None:
        last, self._last_tick = self._last_tick, now
        if last is not None and now - last > PAUSE_S:
            self.server.restart(now)
            self.out.append(Notice("node.paused", {"pause_s": now - last}))

    def _announce(self, now: float, wall: float) -> None:
        """Spreads the instance's announcement if it changed."""
        own = self.mesh.own
        described = self.server.describe(own, wall)
        if described is own:
            return
        fields = {
            "state": described.state.name.lower(),
            "service": described.service,
            "version": described.server_version,
        }
        self.out.append(Notice("server.state", fields))
        self._take(self.mesh.announce(described, now), now, wall)

    def _send_evidence(self, now: float, wall: float) -> None:
        cells = self.moves.drain(wall)
        if cells:
            self._take(self.mesh.add_evidence(cells, now), now, wall)

    def _drive(self, now: float, wall: float) -> None:
        """Raises alarms, drives moves and writes snapshots."""
        active = self.active_moves()
        for started_at, reason in self.moves.alarms(
            active, self.mesh.alarms.moves, self.mesh.directory, wall
        ):
            effects = self.mesh.raise_alarm(started_at, reason, now)
            self._take(effects, now, wall)
            self.out += self.duties.take_back(started_at, reason, now)
        if self.stopping:
            return
        self.out += self.duties.drive(active, wall, now)
        self.out += self.duties.snapshot(now)
        for event in self.moves.unreachable():
            fields = msgspec.to_builtins(event)
            self.out.append(Notice("move.deadline_unreachable", fields))


def first_announcement(settings: CoreSettings, wall: float) -> Announcement:
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
