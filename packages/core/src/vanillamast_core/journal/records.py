"""The kinds of records in the platform's log."""

from vanillamast_core.configuration import Change
from vanillamast_core.journal.record import Record, record_kinds


@record_kinds.register("publish")
class Publish(Record, array_like=True, frozen=True, kw_only=True, tag=1):
    """Publishes a configuration version as a delta.

    Accepted if no affected object changed after `based_on` and the whole
    result is valid.
    """

    changes: tuple[Change, ...]
    label: str = ""


@record_kinds.register("advance_move")
class AdvanceMove(Record, array_like=True, frozen=True, kw_only=True, tag=2):
    """Advances a move to its next step; at the last step the move is done.

    Attributes:
      move: Name of the move.
      from_step: Step that the move must be at (-1 before the first step).
      token: Fencing token of the driver's lease.
      baseline_failure_ratio: Failure ratio of the old version at the time of
        the decision.
      baseline_slow_ms: 90th percentile latency of the old version at the time
        of the decision.
    """

    move: str
    from_step: int
    token: int
    baseline_failure_ratio: float = 0.0
    baseline_slow_ms: float = 0.0


@record_kinds.register("settle_move")
class SettleMove(Record, array_like=True, frozen=True, kw_only=True, tag=3):
    """Ends the observation of a move that is done, and settles it."""

    move: str
    token: int


@record_kinds.register("hold_move")
class HoldMove(Record, array_like=True, frozen=True, kw_only=True, tag=4):
    """Keeps a move at its step until it is resumed (by operators)."""

    move: str


@record_kinds.register("resume_move")
class ResumeMove(Record, array_like=True, frozen=True, kw_only=True, tag=5):
    """Resumes a held move (by operators)."""

    move: str


@record_kinds.register("stop_move")
class StopMove(Record, array_like=True, frozen=True, kw_only=True, tag=6):
    """Ends a move; all traffic goes to the old version (by operators)."""

    move: str


@record_kinds.register("take_back")
class TakeBack(Record, array_like=True, frozen=True, kw_only=True, tag=7):
    """Rolls a move back because the new version is failing.

    Accepted in any state that is not final; needs no lease.

    Attributes:
      started_at: Offset at which the move started, its unique id.
      reason: The verdict.
    """

    started_at: int
    reason: str


@record_kinds.register("claim_lease")
class ClaimLease(Record, array_like=True, frozen=True, kw_only=True, tag=8):
    """Claims or renews a lease by compare-and-set.

    Attributes:
      name: Name of the lease, such as "driver/0" or "snapshot".
      holder: Instance and start time of its process.
      previous: Offset of the last accepted claim of this lease, 0 if none.
    """

    name: str
    holder: str
    previous: int


@record_kinds.register("beacon")
class Beacon(Record, array_like=True, frozen=True, kw_only=True, tag=9):
    """Address of a node of a failure domain, for nodes that start up."""

    failure_domain: str
    instance: str
    address: str


@record_kinds.register("drain_instance")
class DrainInstance(Record, array_like=True, frozen=True, kw_only=True, tag=10):
    """Drains the backend server of an instance, or ends the drain."""

    instance: str
    drained: bool = True


@record_kinds.register("snapshot_chunk")
class SnapshotChunk(Record, array_like=True, frozen=True, kw_only=True, tag=11):
    """One part of a snapshot of the state at an offset.

    Attributes:
      offset: Offset of the state.
      index: Position of the part, from 0.
      count: Number of parts.
      data: The part; empty in entries that nodes forward to each other.
      digest: Digest of the whole snapshot.
    """

    offset: int
    index: int
    count: int
    data: bytes
    digest: bytes

    def is_consistent(self, entry_offset: int) -> bool:
        """Returns whether the fields are valid for an entry at an offset.

        A state later than its own record, or a part outside its snapshot,
        comes from a defective writer.
        """
        return 0 < self.offset < entry_offset and 0 <= self.index < self.count
