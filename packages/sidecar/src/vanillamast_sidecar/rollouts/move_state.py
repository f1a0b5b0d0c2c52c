"""States of a move."""

import enum


class MoveState(enum.StrEnum):
    """State of a move; `COMPLETE` and `REVERTED` are final."""

    ACTIVE = "active"
    COMPLETE = "complete"
    REVERTED = "reverted"
