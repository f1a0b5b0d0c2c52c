"""A suspicion that has not been refuted."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Suspicion:
    """One suspected incarnation of an instance.

    Attributes:
      incarnation: The suspected incarnation.
      since: When this node learned of it, or restarted its timers.
      accusers: Watchers that suspect the instance.
    """

    incarnation: int
    since: float
    accusers: set[str] = dataclasses.field(default_factory=set)
