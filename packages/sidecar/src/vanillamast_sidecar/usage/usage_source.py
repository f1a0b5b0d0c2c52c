"""The sums of a failure domain from one of its hubs."""

import dataclasses


@dataclasses.dataclass(slots=True)
class UsageSource:
    """A hub of another failure domain.

    Attributes:
      incarnation: Incarnation of the hub's node.
      complete: Whether organisations without a base had sums of zero when the
        hub was first heard.
      heard_at: When it was last heard, in seconds.
      bases: Difference between the hub's sums and the known ones of the
        failure domain when the hub was first heard, by organisation.
    """

    incarnation: int
    complete: bool
    heard_at: float
    bases: dict[int, tuple[int, int]] = dataclasses.field(default_factory=dict)
