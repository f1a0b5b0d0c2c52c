"""When a node that was asked to stop refuses requests and exits."""

# Failed readiness checks after which callers send no new requests.
READINESS_REFUSALS_BEFORE_EXIT = 2
# Requests that callers sent before they noticed the shutdown arrive within this
# time.
IDLE_BEFORE_EXIT_S = 0.3
# Share of the time between the stop signal and the kill that the node uses.
GRACE_SHARE = 0.93
# The final response to a request may come this much later than its deadline.
RESPONSE_MARGIN_S = 0.3


class ShutdownPolicy:
    """Decides during a shutdown, from the stop signal to the exit.

    Attributes:
      exit_at: When the process exits at the latest, in loop time.
      last_deadline: Latest deadline of a request that is still accepted.
      idle_since: Since when no request is in progress, in loop time.
    """

    def __init__(self, grace_s: float, now: float):
        self.exit_at = now + grace_s * GRACE_SHARE
        self.last_deadline = self.exit_at - RESPONSE_MARGIN_S
        self.idle_since = now

    def may_close(
        self, busy: bool, readiness_refusals: int, now: float
    ) -> bool:
        """Returns whether to close the callers' connections.

        Args:
          busy: Whether a request is in progress.
          readiness_refusals: Failed readiness checks since the stop signal.
          now: Loop time, in seconds.
        """
        if now >= self.exit_at:
            return True
        if busy or readiness_refusals < READINESS_REFUSALS_BEFORE_EXIT:
            self.idle_since = now
            return False
        return now - self.idle_since >= IDLE_BEFORE_EXIT_S

    def may_exit(self, busy: bool, now: float) -> bool:
        """Returns whether to exit after the connections were closed."""
        return not busy or now >= self.exit_at
