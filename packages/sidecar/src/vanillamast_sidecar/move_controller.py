"""Carries out moves: one node drives, the others report to it."""

import asyncio

import msgspec

from vanillamast_sidecar.errors import StoreConflictError, StoreError
from vanillamast_sidecar.event_logger import EventLogger
from vanillamast_sidecar.mesh import Mesh
from vanillamast_sidecar.messages import Evidence, MoveAnnouncement
from vanillamast_sidecar.metrics import Metrics
from vanillamast_sidecar.move_driver import MoveDriver
from vanillamast_sidecar.move_state import MoveState
from vanillamast_sidecar.move_status import MoveStatus
from vanillamast_sidecar.move_table import Move, MoveTable
from vanillamast_sidecar.peer import Peer
from vanillamast_sidecar.server_executor import ServerExecutor
from vanillamast_sidecar.store import Store
from vanillamast_sidecar.version_evidence import VersionEvidence

STEP_S = 0.2  # A bad version gets this much more traffic before a verdict.
PLAN_INTERVAL_S = 0.4  # Sign of life of a driver.
# A driver whose plans stop is passed over after three missed ones, for some
# seconds.
DRIVER_SILENCE_S = 1.3
DEMOTION_S = 4.0
WRITE_RETRY_S = 0.5  # Wait after a failed write of a move's state.


class MoveController:
    """Drives the moves of which this node is in charge.

    The node with the lowest address among those that are heard of drives.
    Two nodes that both believe so do no harm: evidence only ever lowers a
    share early, and the store takes a move's end from one of them.

    Attributes:
      mesh: Other nodes.
      moves: Moves of traffic.
      executor: Runs requests on the server beside this node.
      store: The store.
      log: Event logger.
      metrics: Metrics.
      drivers: Moves that this node drives or has driven, by service.
      demoted: Nodes that are passed over, by address, and until when.
      recorded: Order and state that the store is known to have, by service.
      writing: Services whose state is being written.
      last_plan: When this node announced a plan last, by service.
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
        self.demoted: dict[str, float] = {}
        self.recorded: dict[str, tuple[int, MoveState]] = {}
        self.writing: set[str] = set()
        self.last_plan: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        mesh.on_evidence = self.handle_evidence

    async def run(self) -> None:
        """Drives and reports until it is cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            for service, move in list(self.moves.by_service.items()):
                self._step(service, move, self.loop.time())

    def _step(self, service: str, move: Move, now: float) -> None:
        if move.spec.over_s <= 0.0:
            return  # Only its plan is known yet.
        if self._is_recorded(move):
            return
        driver_address = self._driver_address(move, now)
        if driver_address == self.mesh.membership.own.record.address:
            self._drive(service, move, now)
        elif move.state is MoveState.ACTIVE:
            evidence = self._own_evidence(service, move)
            if evidence is not None:
                self.mesh.send(
                    driver_address,
                    Evidence(service, move.spec.move_id, evidence),
                )

    def _is_recorded(self, move: Move) -> bool:
        """Returns whether the move has ended for good."""
        if move.state is MoveState.ACTIVE:
            return False
        if move.status is not None and move.status.recorded:
            return True
        known = self.recorded.get(move.spec.service)
        if known == (move.spec.move_id, move.state):
            return True
        # Others than the driver take its word for it after a while.
        return self.loop.time() - move.status_at > DEMOTION_S * 3

    def _driver_address(self, move: Move, now: float) -> str:
        own = self.mesh.membership.own.record.address
        heard = max(move.seen_at, move.status_at)
        alive = sorted(
            peer.record.address
            for peer in self.mesh.membership.peers.values()
            if _may_drive(peer)
            and self.demoted.get(peer.record.address, 0.0) <= now
        )
        if not alive:
            return own
        if alive[0] != own and now - heard > DRIVER_SILENCE_S:
            self.demoted[alive[0]] = now + DEMOTION_S
            # The next one gets the same time to speak up.
            move.status_at = now
            self.log.write(
                "move.driver_silent",
                service=move.spec.service,
                driver=alive[0],
                age_s=round(now - heard, 3),
            )
        return alive[0]

    def _own_evidence(self, service: str, move: Move) -> VersionEvidence | None:
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

    # The driver's part.

    def handle_evidence(self, sender: str, message: Evidence) -> None:
        """Takes the outcomes at another node's server."""
        move = self.moves.by_service.get(message.service)
        if move is None or move.spec.move_id != message.move_id:
            return
        self._driver(message.service, move).add(sender, message.evidence)

    def _driver(self, service: str, move: Move) -> MoveDriver:
        driver = self.drivers.get(service)
        if driver is None or driver.move is not move:
            driver = MoveDriver(move)
            self.drivers[service] = driver
        return driver

    def _drive(self, service: str, move: Move, now: float) -> None:
        driver = self._driver(service, move)
        own = self.mesh.membership.own.record.address
        evidence = self._own_evidence(service, move)
        if evidence is not None:
            driver.add(own, evidence)
        if move.state is not MoveState.ACTIVE:
            self._record(move, move.state)
            return
        old_nodes, has_new = self._servers(service, move)
        plan = driver.decide(now, old_nodes, has_new)
        if plan.state is MoveState.COMPLETE:
            self._record(move, MoveState.COMPLETE)
            self._announce_at_intervals(move, now)
            return
        if plan.state is MoveState.REVERTED:
            self.log.write(
                "move.reverting",
                service=service,
                order=plan.move_id,
                to=plan.to_version,
                elapsed_s=plan.elapsed_s,
                badness=repr(driver.badness),
            )
        news = self.moves.apply_status(plan, now)
        if news:
            self._announce(plan, now)
            self._record(move, plan.state)
        else:
            self._announce_at_intervals(move, now)

    def _servers(self, service: str, move: Move) -> tuple[set[str], bool]:
        """Returns the nodes of old servers and whether new ones are ready."""
        old_nodes = set()
        has_new = False
        for peer in self.mesh.membership.peers_serving(service):
            instance = peer.record.instance
            if instance is None:
                continue
            if instance.version == move.spec.to_version:
                has_new = has_new or peer.usable
            elif peer.connected and not peer.unresponsive and instance.ready:
                old_nodes.add(peer.record.address)
        return old_nodes, has_new

    def _announce_at_intervals(self, move: Move, now: float) -> None:
        last = self.last_plan.get(move.spec.service, 0.0)
        if move.status is not None and now - last >= PLAN_INTERVAL_S:
            elapsed_s = round(now - move.seen_at, 3)
            self._announce(
                msgspec.structs.replace(move.status, elapsed_s=elapsed_s), now
            )

    def _announce(self, plan: MoveStatus, now: float) -> None:
        self.last_plan[plan.service] = now
        self.mesh.broadcast(MoveAnnouncement(plan))
        self.log.write("move.announced", **plan.log_fields())

    # The store's record of a move.

    def _record(self, move: Move, state: MoveState) -> None:
        service = move.spec.service
        if service in self.writing:
            return
        if self.recorded.get(service) == (move.spec.move_id, state):
            return
        self.writing.add(service)
        task = self.loop.create_task(self._write(move, state))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _write(self, move: Move, state: MoveState) -> None:
        """Records a state unless the move has ended in the store."""
        order = move.spec
        try:
            known = await self.store.read_move_states()
            found = known.states.get(order.service)
            wanted = (order.to_version, order.move_id)
            if found is not None and found[1:] == wanted:
                recorded = found[0]
                if recorded is state or recorded is not MoveState.ACTIVE:
                    self._settle(move, recorded)
                    return
            await self.store.put_move_state(order, state, known.end_offset)
            self._settle(move, state)
        except StoreConflictError:
            # Another record came first; the next step reads it.
            self.metrics.count("move_conflicts")
            self.log.write(
                "move.conflict", service=order.service, order=order.move_id
            )
        except StoreError as error:
            self.log.write(
                "move.not_recorded",
                service=order.service,
                order=order.move_id,
                state=state,
                error=str(error),
            )
            await asyncio.sleep(WRITE_RETRY_S)
        finally:
            self.writing.discard(order.service)

    def _settle(self, move: Move, state: MoveState) -> None:
        """Takes what the store has as the move's state."""
        order = move.spec
        self.recorded[order.service] = (order.move_id, state)
        self.log.write(
            "move.recorded",
            service=order.service,
            order=order.move_id,
            to=order.to_version,
            state=state,
        )
        if state is MoveState.ACTIVE:
            return
        now = self.loop.time()
        share = 1.0 if state is MoveState.COMPLETE else 0.0
        plan = MoveStatus(
            order.service,
            order.move_id,
            order.to_version,
            state,
            share,
            round(now - move.seen_at, 3),
            recorded=True,
        )
        self.moves.apply_status(plan, now)
        self._announce(plan, now)


def _may_drive(peer: Peer) -> bool:
    return peer.connected and not peer.unresponsive and not peer.record.stopping
