"""What a node does for its failure domain at the operator's stream."""

import enum


class ReaderRole(enum.Enum):
    """How a node reads the operator's stream.

    Attributes:
      NONE: It gets changes from other nodes.
      STANDBY: It waits for changes in long polls. No other node relies on it.
      READER: It reads at short intervals, and other nodes rely on it while the
        store answers these reads.
    """

    NONE = "none"
    STANDBY = "standby"
    READER = "reader"
