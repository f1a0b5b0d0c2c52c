"""Attempts to reach one address."""

import dataclasses


@dataclasses.dataclass(slots=True)
class DialState:
    """How dialing one address goes.

    Attributes:
      next_at: No dial before this time.
      failures: Consecutive failures.
      failing_since: When the first of them was.
      dialing_since: When the dial that is under way began.
      expected_instance: Who is expected there, "" if unknown.
      last_wanted_at: When the address was last wanted.
    """

    next_at: float
    failures: int = 0
    failing_since: float | None = None
    dialing_since: float | None = None
    expected_instance: str = ""
    last_wanted_at: float = 0.0
