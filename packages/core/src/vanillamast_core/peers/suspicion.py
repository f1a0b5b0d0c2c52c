"""A suspicion that has not been refuted."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Suspicion:
    """One suspected incarnation of an instance.

    Attributes:
      incarnation: The suspected incarnation.
      started_at: When this node learned of it, or restarted its timers.
      suspected_by: Watchers that suspect the instance.
    """

    incarnation: int
    started_at: float
    suspected_by: set[str] = dataclasses.field(default_factory=set)
