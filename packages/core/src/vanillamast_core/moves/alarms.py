"""Alarms that a node raises from its own evidence."""

from collections.abc import Iterable, Mapping

from vanillamast_core.moves.judge import NO_COUNTS, Judge
from vanillamast_core.moves.move import Move
from vanillamast_core.moves.verdict import Regression


def find_alarms(
    judge: Judge,
    moves: Iterable[Move],
    wall: float,
    dead: frozenset[str],
    instances: Mapping[int, int] = NO_COUNTS,
) -> list[tuple[int, str]]:
    """Returns the moves whose new version must get no traffic.

    Also drops the evidence about moves that have ended.

    Args:
      judge: The node's evidence.
      moves: Moves that the node knows.
      wall: Wall time in seconds.
      dead: Instances that membership considers dead.
      instances: Number of instances of the new version by
        `Move.started_at`, where it is known.

    Returns:
      `Move.started_at` and the reason of each.
    """
    alarms = []
    for move in moves:
        if move.state.final:
            judge.forget(move.started_at)
        if move.started_at not in judge.moves:
            continue
        verdict = judge.verdict(
            move, wall, dead, instances.get(move.started_at)
        )
        if isinstance(verdict, Regression):
            alarms.append((move.started_at, str(verdict)))
    return alarms
