"""How an attempt at a backend server ended."""

import enum


class Outcome(enum.IntEnum):
    """Outcome of one attempt.

    Attributes:
      ANSWERED: The server answered.
      NOT_RUN: The request has not run and never will.
      UNKNOWN: The request may have run; no valid response arrived.
      EXPIRED: No response arrived before the deadline; it may have run.
    """

    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2
    EXPIRED = 3
