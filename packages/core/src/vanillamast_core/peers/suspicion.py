"""A suspicion that is not refuted yet."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Suspicion:
    """One suspected incarnation of an instance.

    Attributes:
      incarnation: The suspected incarnation.
      started_at: When this node received it, or last restarted its timers.
      suspected_by: Instances whose own observation led to the suspicion.
    """

    incarnation: int
    started_at: float
    suspected_by: set[str] = dataclasses.field(default_factory=set)
