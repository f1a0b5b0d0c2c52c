"""Limits how often a node answers the questions of another one."""

# Nodes ask a few times a second at most.
ANSWERS_PER_S = 20.0
ANSWERS_AT_ONCE = 16.0


class AnswerBudget:
    """A token bucket for answers that are far longer than their question.

    Attributes:
      tokens: Answers that may be given at once.
      updated_at: When they were counted, in seconds.
    """

    def __init__(self) -> None:
        self.tokens = ANSWERS_AT_ONCE
        self.updated_at = 0.0

    def try_acquire(self, now: float) -> bool:
        """Returns whether a question is answered now."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        self.tokens = min(
            ANSWERS_AT_ONCE, self.tokens + elapsed_s * ANSWERS_PER_S
        )
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
