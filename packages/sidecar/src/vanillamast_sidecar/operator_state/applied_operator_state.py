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

# Longest configuration that another node may send: four times the longest
# record of the reference store.
MAX_CONFIG_BYTES = 1_048_576


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
      era: Era of the store that the offset belongs to.
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
        self.era = 0
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
            if not self._renew_spec(spec):
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
                        era=spec.era,
                    ),
                    now,
                )

    def apply_update(self, update: OperatorUpdate) -> bool:
        """Applies an update of the store; returns whether anything changed.

        An update of an earlier era than the known one changes nothing. The
        first one of a later era has to be a read of the whole state.
        """
        if update.era < self.era:
            return False
        # A store that has returned may not yet have the evacuations again that
        # it lost; the operator's records of the new era withdraw them.
        withdraws = update.complete and update.era == self.era
        self._advance(update.era, update.next_offset)
        # Before the configuration, with which requests begin.
        if withdraws:
            new = self.evacuations.apply_complete(
                update.evacuations, update.era, update.next_offset
            )
        else:
            new = self.evacuations.apply_read(
                update.evacuations, update.era, update.next_offset
            )
        self._handle_evacuations(new, "store")
        changed = bool(new)
        changed = self._add_specs(update.move_specs) or changed
        if update.snapshot is not None:
            changed = (
                self._replace_snapshot(update.snapshot, "store") or changed
            )
        return changed

    def _advance(self, era: int, offset: int) -> None:
        """Moves the position in the operator's stream forward only."""
        if era > self.era:
            self.log.write(
                "operator.era", era=era, previous=self.era, offset=offset
            )
        self.era, self.offset = max((self.era, self.offset), (era, offset))
        self.mesh.operator_era = self.era
        self.mesh.operator_offset = max(0, self.offset)

    def _renew_spec(self, spec: MoveSpec) -> bool:
        """Goes on with the known move if a later era has it as this spec."""
        known = self.moves.by_service.get(spec.service)
        previous = known.spec.move_id if known is not None else -1
        if not self.moves.renew_spec(spec, self.loop.time()):
            return False
        self.log.write(
            "move.renewed",
            service=spec.service,
            order=spec.move_id,
            previous=previous,
            era=spec.era,
        )
        return True

    def _add_specs(self, specs: list[MoveSpec]) -> bool:
        changed = False
        now = self.loop.time()
        for spec in specs:
            if self._renew_spec(spec):
                continue
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
            move.spec
            for move in self.moves.by_service.values()
            if move.spec.over_s > 0.0
        ]
        eras = [spec.era for spec in specs]
        return OperatorState(
            max(0, self.offset),
            self.compressed,
            [
                (spec.service, spec.to_version, spec.over_s, spec.move_id)
                for spec in specs
            ],
            self.moves.statuses(),
            self.evacuations.to_list(),
            self.era,
            eras if any(eras) else [],
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
                    state.evacuations, state.era, state.offset
                )
                if state.offset > 0 and state.era == self.era
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
        eras = state.move_eras or [0] * len(state.move_specs)
        self._add_specs(
            [
                MoveSpec(service, version, over_s, move_id, era)
                for (service, version, over_s, move_id), era in zip(
                    state.move_specs, eras, strict=False
                )
            ]
        )
        now = self.loop.time()
        for status in state.move_statuses:
            self.moves.apply_status(status, now)
        if state.offset > 0 or state.era > self.era:
            self._advance(state.era, state.offset)
        return True


def compress(raw: bytes) -> bytes:
    """Compresses a configuration for the transfer between nodes."""
    return zlib.compress(raw, 6)


def decompress(data: bytes) -> bytes:
    """Decompresses a configuration.

    Raises:
      zlib.error: The bytes are corrupt or expand to more than the limit.
    """
    decompressor = zlib.decompressobj()
    raw = decompressor.decompress(data, MAX_CONFIG_BYTES)
    if not decompressor.eof:
        raise zlib.error("the configuration is too long or cut off")
    return raw
