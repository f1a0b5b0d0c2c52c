"""The state that results from folding the log."""

import msgspec

from vanillamast_core.configuration import Configuration
from vanillamast_core.journal.lease import Lease
from vanillamast_core.journal.outcome import Outcome
from vanillamast_core.journal.records import Beacon
from vanillamast_core.moves.move import Move, MoveState

MAX_FINAL_MOVES = 64
# Appends are repeated within minutes; at 830 changes per day and 4 steps per
# move this covers hours.
MAX_OUTCOMES = 1_024
MAX_REMOVED = 1_024
# More than three times the instances of the target size. Bounds the drains of
# replaced instances, which are never ended.
MAX_DRAINS = 4_096


class MeshState(msgspec.Struct, array_like=True, kw_only=True):
    """The state that all nodes agree on at one offset.

    Only the record handlers change it.

    Attributes:
      configuration: The current configuration.
      version: Configuration version: offset of the last record that changed
        the configuration, an accepted `Publish` or a `SettleMove` that gave a
        service its new server version.
      label: Label of the last accepted `Publish`.
      changed_at: Offset of the last change, by existing object, such as
        "routes/chapter".
      removed_at: Offset of the removal, by removed object; the last 1,024.
      dropped_removal_at: Highest offset that was dropped from `removed_at`.
      moves: Moves by name; of those in a final state, the last 64.
      leases: Leases by name.
      beacons: Last beacon by failure domain.
      drains: Offset at which the drain began, by instance; the last 4,096.
      outcomes: Outcomes by record id, in order of their offsets; the last
        1,024. Leases, beacons and snapshots are idempotent without them.
    """

    configuration: Configuration = msgspec.field(default_factory=Configuration)
    version: int = 0
    label: str = ""
    changed_at: dict[str, int] = {}
    removed_at: dict[str, int] = {}
    dropped_removal_at: int = 0
    moves: dict[str, Move] = {}
    leases: dict[str, Lease] = {}
    beacons: dict[str, Beacon] = {}
    drains: dict[str, int] = {}
    outcomes: dict[str, Outcome] = {}

    def mark_changed(self, key: str, offset: int) -> None:
        """Records that an object was set."""
        self.changed_at[key] = offset
        self.removed_at.pop(key, None)

    def mark_removed(self, key: str, offset: int) -> None:
        """Records that an object was removed."""
        self.changed_at.pop(key, None)
        self.removed_at[key] = offset
        if len(self.removed_at) > MAX_REMOVED:
            oldest = min(self.removed_at, key=self._removal_order)
            self.dropped_removal_at = self.removed_at.pop(oldest)

    def last_changed_at(self, key: str) -> int:
        """Returns an offset after which an object has not changed.

        It may be later than the last change if that is no longer stored; the
        caller then refuses too much rather than too little.
        """
        if key in self.changed_at:
            return self.changed_at[key]
        return self.removed_at.get(key, self.dropped_removal_at)

    def ended_moves(self) -> frozenset[str]:
        """Returns the names of known moves that no record can change."""
        names = self.configuration.moves.keys() | self.moves.keys()
        return frozenset(
            name
            for name in names
            if name not in self.moves or self.moves[name].state.final
        )

    def find_move_started_at(self, offset: int) -> Move | None:
        """Returns the move that started at an offset, if it is stored."""
        for move in self.moves.values():
            if move.started_at == offset:
                return move
        return None

    def settled_version(self, service: str, applied_version: int) -> str | None:
        """Returns the server version that a settled move gave a service.

        While a node waits for the backend servers of a configuration version,
        its routing table still has the service's old server version although
        the move is settled. The traffic must not return to the old version.

        Args:
          service: Name of a service.
          applied_version: Configuration version that the node has applied.

        Returns:
          The server version; None if no move was settled after the applied
          configuration version.
        """
        settled = [
            move
            for move in self.moves.values()
            if move.spec.service == service
            and move.state is MoveState.SETTLED
            and move.changed_at > applied_version
        ]
        if not settled:
            return None
        return max(settled, key=lambda move: move.changed_at).spec.new

    def set_move(self, move: Move) -> None:
        """Stores a move; drops the oldest final one above the limit."""
        self.moves[move.name] = move
        final = [m for m in self.moves.values() if m.state.final]
        if len(final) > MAX_FINAL_MOVES:
            oldest = min(final, key=lambda m: (m.changed_at, m.name))
            del self.moves[oldest.name]

    def start_drain(self, instance: str, offset: int) -> None:
        """Stores a drain; drops the oldest one above the limit."""
        self.drains.setdefault(instance, offset)
        self.mark_changed(f"drains/{instance}", offset)
        if len(self.drains) > MAX_DRAINS:
            oldest = min(self.drains, key=lambda i: (self.drains[i], i))
            self.end_drain(oldest, offset)

    def end_drain(self, instance: str, offset: int) -> None:
        """Ends a drain, if there is one."""
        self.drains.pop(instance, None)
        self.mark_removed(f"drains/{instance}", offset)

    def store_outcome(self, outcome: Outcome) -> None:
        """Stores an outcome; drops the oldest one above the limit."""
        self.outcomes[outcome.id] = outcome
        if len(self.outcomes) > MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]

    def _removal_order(self, key: str) -> tuple[int, str]:
        return self.removed_at[key], key
