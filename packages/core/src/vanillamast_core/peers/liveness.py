"""Liveness of an instance, as its watchers see it."""

import enum


class LivenessState(enum.IntEnum):
    """Liveness; of two claims on one incarnation the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
