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

    Callers notice the stop by the readiness checks. The node has to wait for
    that, so other nodes use its server meanwhile.

    Attributes:
      exit_at: When the process exits at the latest, in loop time.
      last_deadline: Latest deadline of a request that is still accepted.
      withdraw_by: Until when every request to the server can be accepted,
        whatever the timeout of its route.
      idle_since: Since when no request is in progress, in loop time.
    """

    def __init__(self, grace_s: float, longest_timeout_s: float, now: float):
        self.exit_at = now + grace_s * GRACE_SHARE
        self.last_deadline = self.exit_at - RESPONSE_MARGIN_S
        self.withdraw_by = self.last_deadline - longest_timeout_s
        self.idle_since = now

    def must_withdraw(self, readiness_refusals: int, now: float) -> bool:
        """Returns whether other nodes have to stop using the server.

        Args:
          readiness_refusals: Failed readiness checks since the stop signal.
          now: Loop time, in seconds.
        """
        return (
            readiness_refusals >= READINESS_REFUSALS_BEFORE_EXIT
            or now >= self.withdraw_by
        )

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
