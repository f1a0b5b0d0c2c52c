"""Spreads the writes of a fleet after a return of the store."""

import random

# The rest of the store's rate of writes is left to servers and moves.
WRITE_SHARE = 0.5
# Shortest span, for small fleets: readers first read the operator's state.
MIN_SPREAD_S = 2.0


def choose_restore_delay(
    nodes: int, writes_per_s: float, rng: random.Random
) -> float:
    """Returns a random delay before a write that each node makes, in seconds.

    Args:
      nodes: Number of nodes.
      writes_per_s: Writes that the store takes in a second.
      rng: Source of the choice.
    """
    spread_s = nodes / (writes_per_s * WRITE_SHARE)
    return rng.uniform(0.0, max(MIN_SPREAD_S, spread_s))
