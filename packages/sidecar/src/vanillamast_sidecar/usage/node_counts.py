"""Counts of one node, as a hub last heard them."""

import dataclasses

from vanillamast_sidecar.admission.decaying_rate import DecayingRate


@dataclasses.dataclass(slots=True)
class NodeCounts:
    """Cumulative counts of a node.

    Attributes:
      incarnation: Incarnation of the node.
      complete: Whether organisations without an entry have counts of zero;
        else their counts are unknown.
      heard_at: When the node was last heard, in seconds.
      counts: Requests asked for and admitted, by organisation.
      rates: Rate of admitted requests, by organisation.
      estimates: Requests that it is assumed to have admitted since it was last
        heard, by organisation.
    """

    incarnation: int
    complete: bool
    heard_at: float
    counts: dict[int, tuple[int, int]] = dataclasses.field(default_factory=dict)
    rates: dict[int, DecayingRate] = dataclasses.field(default_factory=dict)
    estimates: dict[int, float] = dataclasses.field(default_factory=dict)
