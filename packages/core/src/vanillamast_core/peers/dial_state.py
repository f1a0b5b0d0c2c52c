"""State of the dials to one address."""

import dataclasses


@dataclasses.dataclass(slots=True)
class DialState:
    """Backoff and progress of the dials to one address.

    Attributes:
      next_at: No dial before this time.
      failures: Consecutive failures.
      failing_since: Time of the first of these failures.
      dialing_since: Start of the current dial, None if there is none.
      expected_instance: Instance expected there, "" if unknown.
      last_wanted_at: When a link to the address was last wanted.
    """

    next_at: float
    failures: int = 0
    failing_since: float | None = None
    dialing_since: float | None = None
    expected_instance: str = ""
    last_wanted_at: float = 0.0
