"""How an attempt at a backend server ended."""

import enum


class Outcome(enum.IntEnum):
    """Outcome of one attempt.

    Attributes:
      ANSWERED: The server answered.
      NOT_RUN: The request was not run and never will be.
      UNKNOWN: The request may have run; no usable answer arrived.
      EXPIRED: It ran out of time at the server.
    """

    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2
    EXPIRED = 3
