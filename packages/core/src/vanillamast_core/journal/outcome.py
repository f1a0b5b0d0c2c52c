"""The outcome of folding a record."""

import enum

import msgspec


class OutcomeReason(enum.StrEnum):
    """Why a record was accepted or refused."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"  # An affected object changed after based_on.
    INVALID = "invalid"  # The configuration would be invalid as a whole.
    FENCED = "fenced"  # The fencing token is not the lease's.
    UNKNOWN_MOVE = "unknown_move"
    WRONG_STATE = "wrong_state"  # The record requires another move state.
    UNREADABLE = "unreadable"  # The bytes are not a known record.


class Outcome(msgspec.Struct, array_like=True, frozen=True):
    """Result of one record, the same on every node.

    Attributes:
      id: Id of the record.
      offset: Offset at which the record took effect or was refused.
      reason: Why it was accepted or refused.
      winner: For a conflict, the offset of the change that came first.
      detail: Explanation for operators, in one line.
    """

    id: str
    offset: int
    reason: OutcomeReason
    winner: int = 0
    detail: str = ""

    @property
    def accepted(self) -> bool:
        """Whether the record took effect."""
        return self.reason is OutcomeReason.ACCEPTED
