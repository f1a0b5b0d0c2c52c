"""A link in the in-memory network."""

import dataclasses
from typing import Any


@dataclasses.dataclass(slots=True)
class SimulatedLink:
    """An ordered, bidirectional stream between two nodes.

    Attributes:
      ends: Names of the dialing and the accepting node.
      generations: Generation of each end's process at the opening.
      ids: Link id at each end.
      open: Whether the link is open at each end.
      ready_at: Earliest delivery time in the direction from each end.
      held: Events held in the direction from each end by a cut.
    """

    ends: tuple[str, str]
    generations: tuple[int, int]
    ids: tuple[int, int]
    open: list[bool] = dataclasses.field(default_factory=lambda: [True, True])
    ready_at: list[float] = dataclasses.field(default_factory=lambda: [0.0] * 2)
    held: tuple[list[Any], list[Any]] = dataclasses.field(
        default_factory=lambda: ([], [])
    )
