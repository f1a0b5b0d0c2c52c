"""Liveness of an instance as other instances see it."""

import enum


class LivenessState(enum.IntEnum):
    """Liveness; of two claims about one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
