"""Times within which a store reader has to be answered."""

import dataclasses

# Parts of the time in which a change has to be applied: within it, a reader
# knows that the store does not answer. Each read costs a call.
POLL_PART = 0.65
ANSWER_PART = 0.25
# Two heartbeats or reports are on the way from a reader to another node.
REPORT_DELAY_S = 0.4


@dataclasses.dataclass(slots=True, frozen=True)
class ReaderTiming:
    """Times within which a store reader has to be answered.

    Attributes:
      poll_s: Longest time between an answer and the next one, in seconds.
      answer_s: How late that answer may be, in seconds.
    """

    poll_s: float
    answer_s: float

    @classmethod
    def from_apply_s(cls, apply_s: float) -> "ReaderTiming":
        """Returns the times for a deployment.

        Args:
          apply_s: Time in which nodes apply a change, in seconds.
        """
        return cls(POLL_PART * apply_s, ANSWER_PART * apply_s)

    @property
    def silence_s(self) -> float:
        """Returns how long a reader in touch may be without an answer."""
        return self.poll_s + self.answer_s

    @property
    def freshness_s(self) -> float:
        """Returns how old the last answer of another reader may be."""
        return self.silence_s + REPORT_DELAY_S

    @property
    def stale_s(self) -> float:
        """Returns an age at which no node relies on a reader."""
        return 2.0 * self.freshness_s
