"""Runs moves: one node drives each move, the others report to it."""

import asyncio

import msgspec

from vanillamast_sidecar.admission.server_executor import ServerExecutor
from vanillamast_sidecar.errors import (
    StoreConflictError,
    StoreEraError,
    StoreError,
)
from vanillamast_sidecar.membership.peer import Peer
from vanillamast_sidecar.mesh.mesh import Mesh
from vanillamast_sidecar.mesh.messages import Evidence, MoveAnnouncement
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.store import Store
from vanillamast_sidecar.rollouts.move_driver import MoveDriver
from vanillamast_sidecar.rollouts.move_spec import MoveSpec
from vanillamast_sidecar.rollouts.move_state import MoveState
from vanillamast_sidecar.rollouts.move_status import MoveStatus
from vanillamast_sidecar.rollouts.move_table import Move, MoveTable
from vanillamast_sidecar.rollouts.version_evidence import VersionEvidence

# Delays a verdict by up to this time, while a failing version gets traffic.
CONTROL_INTERVAL_S = 0.2
ANNOUNCE_INTERVAL_S = 0.4  # Also serves as the driver's heartbeat.
# A driver is excluded for some seconds after three missed announcements.
DRIVER_TIMEOUT_S = 1.3
DRIVER_EXCLUSION_S = 4.0
WRITE_RETRY_S = 0.5  # Delay after a failed write of a move's state.


class MoveController:
    """Drives the moves whose driver this node is and reports on the others.

    The reachable node with the lowest address is the driver. Two nodes that
    both act as driver are safe: evidence can only lower a share early, and
    the store accepts the end of a move from one of them only.

    Attributes:
      mesh: Connections to the other nodes.
      moves: Moves of all services.
      executor: Runs requests on the local server.
      store: Coordination store.
      log: Event logger.
      metrics: Metrics.
      drivers: Drivers of moves that this node drives or has driven, by
        service.
      excluded_until: When an unresponsive node may drive again, in loop time,
        by address.
      recorded_states: Position of the move's record and state last known to
        be in the store, by service.
      pending_writes: Services whose move state is being written.
      announced_at: When this node last announced a move status, in loop time,
        by service.
    """

    def __init__(
        self,
        mesh: Mesh,
        moves: MoveTable,
        executor: ServerExecutor,
        store: Store,
        log: EventLogger,
        metrics: Metrics,
    ):
        self.mesh = mesh
        self.moves = moves
        self.executor = executor
        self.store = store
        self.log = log
        self.metrics = metrics
        self.loop = asyncio.get_running_loop()
        self.drivers: dict[str, MoveDriver] = {}
        self.excluded_until: dict[str, float] = {}
        self.recorded_states: dict[str, tuple[tuple[int, int], MoveState]] = {}
        self.pending_writes: set[str] = set()
        self.announced_at: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        mesh.on_evidence = self.handle_evidence

    async def run(self) -> None:
        """Drives moves and sends evidence until it is cancelled."""
        while True:
            await asyncio.sleep(CONTROL_INTERVAL_S)
            for service, move in list(self.moves.by_service.items()):
                self._process_move(service, move, self.loop.time())

    def _process_move(self, service: str, move: Move, now: float) -> None:
        if move.spec.over_s <= 0.0:
            return  # The status arrived before the move spec.
        if self._has_ended(move):
            return
        driver_address = self._select_driver(move, now)
        if driver_address == self.mesh.membership.own.record.address:
            self._drive(service, move, now)
        elif move.state is MoveState.ACTIVE:
            evidence = self._update_local_evidence(service, move)
            if evidence is not None:
                self.mesh.send(
                    driver_address,
                    Evidence(
                        service, move.spec.move_id, evidence, move.spec.era
                    ),
                )

    def _has_ended(self, move: Move) -> bool:
        """Returns whether the move has ended and needs no more work."""
        if move.state is MoveState.ACTIVE or move.must_record:
            return False
        if move.status is not None and move.status.recorded:
            return True
        known = self.recorded_states.get(move.spec.service)
        if known == (move.spec.position, move.state):
            return True
        # Without a record, nodes accept the driver's status after this time.
        return self.loop.time() - move.status_at > DRIVER_EXCLUSION_S * 3

    def _select_driver(self, move: Move, now: float) -> str:
        own = self.mesh.membership.own.record.address
        last_contact_at = max(move.first_seen_at, move.status_at)
        candidates = sorted(
            peer.record.address
            for peer in self.mesh.membership.peers.values()
            if _may_drive(peer)
            and self.excluded_until.get(peer.record.address, 0.0) <= now
        )
        if not candidates:
            return own
        if candidates[0] != own and now - last_contact_at > DRIVER_TIMEOUT_S:
            self.excluded_until[candidates[0]] = now + DRIVER_EXCLUSION_S
            # The next candidate gets the full timeout as well.
            move.status_at = now
            self.log.write(
                "move.driver_silent",
                service=move.spec.service,
                driver=candidates[0],
                age_s=round(now - last_contact_at, 3),
            )
        return candidates[0]

    def _update_local_evidence(
        self, service: str, move: Move
    ) -> VersionEvidence | None:
        instance = self.mesh.membership.own.record.instance
        if instance is None or instance.service != service:
            return None
        evidence = move.evidence
        if evidence is None or evidence.version != instance.version:
            evidence = VersionEvidence(instance.version, {})
            move.evidence = evidence
        queue = self.executor.queue
        evidence.idle = queue.running == 0 and queue.size == 0
        evidence.share = move.share
        return evidence

    # Work of the driver.

    def handle_evidence(self, sender: str, message: Evidence) -> None:
        """Stores the outcomes at another node's server."""
        move = self.moves.by_service.get(message.service)
        position = (message.era, message.move_id)
        if move is None or move.spec.position != position:
            return
        self._get_driver(message.service, move).add_evidence(
            sender, message.evidence
        )

    def _get_driver(self, service: str, move: Move) -> MoveDriver:
        driver = self.drivers.get(service)
        if driver is None or driver.move is not move:
            driver = MoveDriver(move)
            self.drivers[service] = driver
        return driver

    def _drive(self, service: str, move: Move, now: float) -> None:
        driver = self._get_driver(service, move)
        own = self.mesh.membership.own.record.address
        evidence = self._update_local_evidence(service, move)
        if evidence is not None:
            driver.add_evidence(own, evidence)
        if move.state is not MoveState.ACTIVE:
            self._start_recording(move, move.state)
            return
        old_nodes, has_new_server = self._find_servers(service, move)
        status = driver.decide_status(now, old_nodes, has_new_server)
        if status.state is MoveState.COMPLETE:
            self._start_recording(move, MoveState.COMPLETE)
            self._announce_if_due(move, now)
            return
        if status.state is MoveState.REVERTED:
            self.log.write(
                "move.reverting",
                service=service,
                order=status.move_id,
                to=status.to_version,
                elapsed_s=status.elapsed_s,
                badness=repr(driver.regression),
            )
        changed = self.moves.apply_status(status, now)
        if changed:
            self._announce(status, now)
        else:
            self._announce_if_due(move, now)
        if changed or move.must_record:
            self._start_recording(move, status.state)

    def _find_servers(self, service: str, move: Move) -> tuple[set[str], bool]:
        """Returns nodes with old servers and whether a new one is usable."""
        old_nodes = set()
        has_new_server = False
        for peer in self.mesh.membership.peers_serving(service):
            instance = peer.record.instance
            if instance is None:
                continue
            if instance.version == move.spec.to_version:
                has_new_server = has_new_server or peer.usable
            elif peer.reachable and instance.ready:
                old_nodes.add(peer.record.address)
        return old_nodes, has_new_server

    def _announce_if_due(self, move: Move, now: float) -> None:
        last = self.announced_at.get(move.spec.service, 0.0)
        if move.status is not None and now - last >= ANNOUNCE_INTERVAL_S:
            elapsed_s = round(now - move.first_seen_at, 3)
            self._announce(
                msgspec.structs.replace(move.status, elapsed_s=elapsed_s), now
            )

    def _announce(self, status: MoveStatus, now: float) -> None:
        self.announced_at[status.service] = now
        self.mesh.broadcast(MoveAnnouncement(status))
        self.log.write("move.announced", **status.log_fields())

    # The store's record of a move.

    def _start_recording(self, move: Move, state: MoveState) -> None:
        service = move.spec.service
        if service in self.pending_writes:
            return
        if self.recorded_states.get(service) == (move.spec.position, state):
            return
        self.pending_writes.add(service)
        task = self.loop.create_task(self._record_state(move, state))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _record_state(self, move: Move, state: MoveState) -> None:
        """Records a state unless the store already has the move's end."""
        spec = move.spec
        try:
            stored = await self.store.read_move_states()
            if stored.era != spec.era:
                # The order has not been read in this era, and the operator
                # may not have written it again yet.
                raise StoreEraError(f"order of era {spec.era}")
            found = stored.states.get(spec.service)
            if found is not None and found[2] > spec.move_id:
                # Its state must not be replaced by that of an earlier order.
                raise StoreError(f"order {found[2]} has a state already")
            wanted = (spec.to_version, spec.move_id)
            if found is not None and found[1:] == wanted:
                recorded = found[0]
                if recorded is state or recorded is not MoveState.ACTIVE:
                    self._apply_recorded_state(move, spec, recorded)
                    return
            await self.store.put_move_state(spec, state, stored.end_offset)
            self._apply_recorded_state(move, spec, state)
        except StoreConflictError:
            # Another write came first; the next attempt reads it.
            self.metrics.count("move_conflicts")
            self.log.write(
                "move.conflict", service=spec.service, order=spec.move_id
            )
        except StoreError as error:
            self.log.write(
                "move.not_recorded",
                service=spec.service,
                order=spec.move_id,
                state=state,
                error=str(error),
            )
            await asyncio.sleep(WRITE_RETRY_S)
        finally:
            self.pending_writes.discard(spec.service)

    def _apply_recorded_state(
        self, move: Move, spec: MoveSpec, state: MoveState
    ) -> None:
        """Applies and announces the state that the store has recorded."""
        if spec.position != move.spec.position:
            return  # A later era has begun since; it is recorded again.
        self.recorded_states[spec.service] = (spec.position, state)
        self.log.write(
            "move.recorded",
            service=spec.service,
            order=spec.move_id,
            era=spec.era,
            to=spec.to_version,
            state=state,
        )
        if state is MoveState.ACTIVE:
            move.must_record = False
            return
        now = self.loop.time()
        share = 1.0 if state is MoveState.COMPLETE else 0.0
        status = MoveStatus(
            spec.service,
            spec.move_id,
            spec.to_version,
            state,
            share,
            round(now - move.first_seen_at, 3),
            recorded=True,
            era=spec.era,
        )
        self.moves.apply_status(status, now)
        self._announce(status, now)


def _may_drive(peer: Peer) -> bool:
    return peer.reachable and not peer.record.stopping
