"""States of a move."""

import enum


class MoveState(enum.StrEnum):
    """How far a move is; the last two are final."""

    ACTIVE = "active"
    COMPLETE = "complete"
    REVERTED = "reverted"
