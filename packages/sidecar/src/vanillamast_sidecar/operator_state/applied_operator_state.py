"""Newest operator state that a node has received and applied."""

import asyncio
import zlib
from collections.abc import Callable

from vanillamast_sidecar.errors import InvalidConfigurationError
from vanillamast_sidecar.mesh.mesh import Mesh
from vanillamast_sidecar.mesh.messages import OperatorState
from vanillamast_sidecar.observability.event_logger import EventLogger
from vanillamast_sidecar.observability.metrics import Metrics
from vanillamast_sidecar.operator_state.evacuation import Evacuation
from vanillamast_sidecar.operator_state.evacuations import Evacuations
from vanillamast_sidecar.operator_state.snapshot import Snapshot
from vanillamast_sidecar.operator_state.store import MoveStates, OperatorUpdate
from vanillamast_sidecar.rollouts.move_spec import MoveSpec
from vanillamast_sidecar.rollouts.move_state import MoveState
from vanillamast_sidecar.rollouts.move_status import MoveStatus
from vanillamast_sidecar.rollouts.move_table import MoveTable


class AppliedOperatorState:
    """Newest operator state, from the store or from a peer.

    Attributes:
      mesh: Announces the applied configuration version and offset to other
        nodes.
      moves: Moves of all services.
      apply_snapshot: Applies a configuration in the rest of the node.
      decode_snapshot: Decodes a configuration from another node.
      evacuations: Failure domains that the operator has evacuated.
      on_evacuation: Handles a new record on an evacuation; the flag tells
        whether the operator has just written it, as far as this node knows.
      log: Event logger.
      metrics: Metrics.
      offset: Next offset to read in the operator's stream; -1 if the newest
        state has to be read as a whole.
      snapshot: Newest configuration, None before the first one.
      compressed: The same, compressed for other nodes; empty until one asks.
    """

    def __init__(
        self,
        mesh: Mesh,
        moves: MoveTable,
        apply_snapshot: Callable[[Snapshot], None],
        decode_snapshot: Callable[[bytes], Snapshot],
        log: EventLogger,
        metrics: Metrics,
        evacuations: Evacuations | None = None,
        on_evacuation: Callable[[Evacuation, bool], None] = lambda *_: None,
    ):
        self.mesh = mesh
        self.moves = moves
        self.apply_snapshot = apply_snapshot
        self.decode_snapshot = decode_snapshot
        self.log = log
        self.metrics = metrics
        self.evacuations = evacuations or Evacuations()
        self.on_evacuation = on_evacuation
        self.loop = asyncio.get_running_loop()
        self.offset = -1
        self.snapshot: Snapshot | None = None
        self.compressed = b""
        mesh.get_operator_state = self.to_message
        mesh.get_evacuations = self.to_evacuations_message

    # From the store.

    def apply_recorded_states(
        self, specs: list[MoveSpec], recorded: MoveStates
    ) -> None:
        """Applies the recorded states of moves from before the node's start."""
        now = self.loop.time()
        for spec in specs:
            state, version, move_id = recorded.states.get(
                spec.service, (MoveState.ACTIVE, "", -1)
            )
            if version != spec.to_version or move_id != spec.move_id:
                continue
            self.moves.add_spec(spec, now)
            if state is not MoveState.ACTIVE:
                share = 1.0 if state is MoveState.COMPLETE else 0.0
                self.moves.apply_status(
                    MoveStatus(
                        spec.service,
                        spec.move_id,
                        spec.to_version,
                        state,
                        share,
                        0.0,
                        recorded=True,
                    ),
                    now,
                )

    def apply_update(self, update: OperatorUpdate) -> bool:
        """Applies an update of the store; returns whether anything changed."""
        self.offset = max(self.offset, update.next_offset)
        self.mesh.operator_offset = max(0, self.offset)
        # Before the configuration, with which requests begin.
        if update.complete:
            new = self.evacuations.apply_complete(
                update.evacuations, 0, update.next_offset
            )
        else:
            new = self.evacuations.apply_read(
                update.evacuations, 0, update.next_offset
            )
        self._handle_evacuations(new, "store")
        changed = bool(new)
        changed = self._add_specs(update.move_specs) or changed
        if update.snapshot is not None:
            changed = (
                self._replace_snapshot(update.snapshot, "store") or changed
            )
        return changed

    def _add_specs(self, specs: list[MoveSpec]) -> bool:
        changed = False
        now = self.loop.time()
        for spec in specs:
            completed = self.moves.complete_spec(spec)
            if completed or self.moves.add_spec(spec, now):
                changed = True
                self.log.write(
                    "move.ordered",
                    service=spec.service,
                    to=spec.to_version,
                    over_s=spec.over_s,
                    order=spec.move_id,
                )
        return changed

    def _handle_evacuations(self, new: list[Evacuation], source: str) -> None:
        """Handles new records on evacuations and passes them on."""
        for record in new:
            self.log.write(
                "evacuation.changed",
                failure_domain=record.failure_domain,
                evacuated=record.active,
                offset=record.offset,
                source=source,
            )
            # A node without a configuration has just started, and takes over
            # records of any age.
            self.on_evacuation(record, self.snapshot is not None)
        if new:
            self.metrics.set(
                "evacuated_domains", self.evacuations.count_evacuated()
            )
            if source == "store" or self.mesh.is_hub:
                self.mesh.broadcast(OperatorState(0, b"", [], [], new))

    def _replace_snapshot(self, snapshot: Snapshot, source: str) -> bool:
        """Applies a configuration if its version is newer; never rolls back."""
        known = self.snapshot
        if known is not None and snapshot.version <= known.version:
            return False
        self.snapshot = snapshot
        self.compressed = b""
        self.apply_snapshot(snapshot)
        self.mesh.config_version = snapshot.version
        self.metrics.set("config_version", snapshot.version)
        self.log.write(
            "config.applied",
            version=snapshot.version,
            previous=known.version if known is not None else -1,
            routes=len(snapshot.routes),
            source=source,
        )
        return True

    # From and to other nodes.

    def to_message(self) -> OperatorState | None:
        """Returns the state to send to a peer, None without a configuration."""
        if self.snapshot is None:
            return None
        if not self.compressed:
            self.compressed = compress(self.snapshot.raw)
        specs = [
            (
                move.spec.service,
                move.spec.to_version,
                move.spec.over_s,
                move.spec.move_id,
            )
            for move in self.moves.by_service.values()
            if move.spec.over_s > 0.0
        ]
        return OperatorState(
            max(0, self.offset),
            self.compressed,
            specs,
            self.moves.statuses(),
            self.evacuations.to_list(),
        )

    def to_evacuations_message(self) -> OperatorState | None:
        """Returns the records on evacuations alone, None without one."""
        records = self.evacuations.to_list()
        return OperatorState(0, b"", [], [], records) if records else None

    def apply_peer_state(self, state: OperatorState) -> bool:
        """Applies the state of a peer; returns False if it is refused."""
        if state.evacuations is not None:
            new = (
                self.evacuations.apply_complete(
                    state.evacuations, 0, state.offset
                )
                if state.offset > 0
                else self.evacuations.apply(state.evacuations)
            )
            self._handle_evacuations(new, "peer")
        if not state.config:
            return True
        try:
            snapshot = self.decode_snapshot(decompress(state.config))
        except (InvalidConfigurationError, zlib.error) as error:
            self.log.write("operator.invalid", error=str(error), source="peer")
            return False
        self._replace_snapshot(snapshot, "peer")
        self._add_specs([MoveSpec(*fields) for fields in state.move_specs])
        now = self.loop.time()
        for status in state.move_statuses:
            self.moves.apply_status(status, now)
        if state.offset > 0:
            self.offset = max(self.offset, state.offset)
            self.mesh.operator_offset = self.offset
        return True


def compress(raw: bytes) -> bytes:
    """Compresses a configuration for the transfer between nodes."""
    return zlib.compress(raw, 6)


def decompress(data: bytes) -> bytes:
    """Decompresses a configuration.

    Raises:
      zlib.error: The bytes are corrupt.
    """
    return zlib.decompress(data)
