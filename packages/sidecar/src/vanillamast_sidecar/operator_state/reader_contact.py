"""Whether a node's own reads of the operator's stream are answered in time."""

import math

from vanillamast_sidecar.operator_state.reader_timing import ReaderTiming


class ReaderContact:
    """Decides whether this node is in touch with the operator's stream.

    Only answers to this node's own reads of that stream count. Answers to
    other calls say nothing about it, as parts of the store may be silent.

    Attributes:
      timing: Times within which reads have to be answered.
      up_to_date: Whether the last read reached the end of the stream.
      is_lost: Whether a read has failed since.
      answered_at: When the last answer arrived while it had, in loop time.
    """

    def __init__(self, timing: ReaderTiming):
        self.timing = timing
        self.up_to_date = False
        self.is_lost = True
        self.answered_at = -math.inf

    def handle_answer(self, now: float) -> None:
        """Counts an answer that reached the end of the stream."""
        self.up_to_date = True
        self.is_lost = False
        self.answered_at = now

    def handle_partial_answer(self) -> None:
        """Counts no more answers until one reaches the end of the stream."""
        self.up_to_date = False

    def handle_progress(self, now: float) -> None:
        """Counts a part of an answer, which takes long on a slow link."""
        if self.up_to_date:
            self.answered_at = now

    def handle_failure(self) -> None:
        """Ends the contact until the next answer."""
        self.up_to_date = False
        self.is_lost = True

    def is_in_touch(self, now: float) -> bool:
        """Returns whether other nodes may rely on this one."""
        age_s = now - self.answered_at
        return not self.is_lost and age_s <= self.timing.silence_s

    def choose_wait_s(self, now: float, fraction: float) -> float:
        """Returns how long the next read may wait for a change.

        Args:
          now: Loop time, in seconds.
          fraction: Part of the longest time that it may take, up to 1. Nodes
            that choose it at random do not stay in step with each other.
        """
        if not self.up_to_date or not self.is_in_touch(now):
            return 0.0
        due_at = self.answered_at + fraction * self.timing.poll_s
        return max(0.0, due_at - now)

    def get_age_s(self, now: float) -> float:
        """Returns the age of the last answer as other nodes are told it."""
        if self.is_in_touch(now):
            return now - self.answered_at
        return self.timing.stale_s
