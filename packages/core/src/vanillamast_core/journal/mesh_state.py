"""The state that the fold of the log results in."""

import msgspec

from vanillamast_core.configuration import Configuration
from vanillamast_core.journal.lease import Lease
from vanillamast_core.journal.outcome import Outcome
from vanillamast_core.journal.records import Beacon
from vanillamast_core.moves.move import Move, MoveState

MAX_FINAL_MOVES = 64
# Repeated appends follow within minutes; at 830 changes a day and 4 steps a
# move this covers hours.
MAX_OUTCOMES = 1_024
MAX_REMOVED = 1_024
# More than three times the instances of the target size: drains that nobody
# ended, of instances that were replaced, must not pile up.
MAX_DRAINS = 4_096


class MeshState(msgspec.Struct, array_like=True, kw_only=True):
    """What all nodes agree on, as of one offset.

    Only the handlers of records change it.

    Attributes:
      configuration: The current configuration.
      version: Offset of the last record that changed the configuration: an
        accepted `Publish`, or a `SettleMove` that gave a service its new
        version.
      label: Label of the last accepted `Publish`.
      changed_at: Offset of the last change by object ("routes/chapter"), of
        the objects that exist.
      removed_at: The same for objects that were removed, the last 1,024.
      dropped_removal_at: Highest offset that was dropped from `removed_at`.
      moves: Moves by name; of those in a final state the last 64.
      leases: Leases by name.
      beacons: Last beacon by failure domain.
      drains: Offset at which the drain began by instance, the last 4,096.
      outcomes: Outcomes by id of record, in order of their offsets, the last
        1,024. Leases, beacons and snapshots are idempotent without it.
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
        """Notes that an object was set."""
        self.changed_at[key] = offset
        self.removed_at.pop(key, None)

    def mark_removed(self, key: str, offset: int) -> None:
        """Notes that an object was removed."""
        self.changed_at.pop(key, None)
        self.removed_at[key] = offset
        if len(self.removed_at) > MAX_REMOVED:
            oldest = min(self.removed_at, key=self._removal_order)
            self.dropped_removal_at = self.removed_at.pop(oldest)

    def last_changed_at(self, key: str) -> int:
        """Returns the offset after which an object has not changed.

        It may be later than the last change if that has been forgotten,
        which refuses too much rather than too little.
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
        """Returns the move with an identity, if it is remembered."""
        for move in self.moves.values():
            if move.started_at == offset:
                return move
        return None

    def settled_version(self, service: str, applied_version: int) -> str | None:
        """Returns the version that a move gave a service lately, if any.

        While a node waits for the endpoints of a version, its routing table
        still names the service's old version, although its move is settled;
        the traffic must not go back.

        Args:
          service: Name of a service.
          applied_version: Configuration version in use on the node.
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
        """Replaces a move and forgets the oldest of too many final ones."""
        self.moves[move.name] = move
        final = [m for m in self.moves.values() if m.state.final]
        if len(final) > MAX_FINAL_MOVES:
            oldest = min(final, key=lambda m: (m.changed_at, m.name))
            del self.moves[oldest.name]

    def start_drain(self, instance: str, offset: int) -> None:
        """Notes a drain and forgets the oldest of too many."""
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
        """Keeps an outcome and forgets the oldest of too many."""
        self.outcomes[outcome.id] = outcome
        if len(self.outcomes) > MAX_OUTCOMES:
            del self.outcomes[next(iter(self.outcomes))]

    def _removal_order(self, key: str) -> tuple[int, str]:
        return self.removed_at[key], key
