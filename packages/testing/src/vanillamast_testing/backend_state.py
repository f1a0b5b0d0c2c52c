"""State of the fake backend server: starting, serving, draining, stopped."""

from vanillamast_core import ServerState

from vanillamast_testing.backend_settings import BackendSettings

# Nodes may still send new requests for this time after a drain begins.
MAX_DRAIN_PROPAGATION_S = 3.0


class BackendState:
    """What the backend server announces, as a function of time.

    Attributes:
      settings: Times of the cold start.
      started_at: Time at which the process started.
      drain_at: Time at which the drain began, or None.
      drain_is_final: Whether `set_drained` can no longer end the drain.
      stopped: Whether the process is about to exit.
    """

    def __init__(self, settings: BackendSettings, now: float):
        self.settings = settings
        self.started_at = now
        self.drain_at: float | None = None
        self.drain_is_final = False
        self.stopped = False

    def state(self, now: float) -> ServerState:
        """Returns the state to announce."""
        if self.stopped:
            return ServerState.STOPPED
        if self.drain_at is not None:
            return ServerState.DRAINING
        if now - self.started_at < self.settings.start_s:
            return ServerState.STARTING
        return ServerState.SERVING

    def set_drained(self, drained: bool, now: float) -> None:
        """Begins or ends a drain; a final drain does not end."""
        if drained and self.drain_at is None:
            self.drain_at = now
        elif not drained and not self.drain_is_final:
            self.drain_at = None

    def start_final_drain(self, now: float) -> None:
        """Begins a drain that `set_drained` cannot end."""
        self.set_drained(True, now)
        self.drain_is_final = True

    def violates_drain(self, now: float) -> bool:
        """Returns whether a request arrives too long after the drain began."""
        return (
            self.drain_at is not None
            and now > self.drain_at + MAX_DRAIN_PROPAGATION_S
        )

    def slowdown(self, now: float) -> float:
        """Returns how many times slower than a warm server this one is."""
        age = now - self.started_at - self.settings.start_s
        remaining = max(0.0, 1 - max(0.0, age) / self.settings.cold_s)
        return 1 + (self.settings.cold_factor - 1) * remaining
