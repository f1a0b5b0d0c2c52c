"""State of the fake backend server: starting, serving, draining, stopped."""

from vanillamast_core import ServerState

from vanillamast_testing.backend_settings import BackendSettings

MAX_DRAIN_PROPAGATION_S = 3.0  # Nodes may send new requests for so long.


class BackendState:
    """What the backend server announces, as a function of time.

    Attributes:
      settings: Times of the cold start.
      started_at: When the process started, in seconds.
      drain_at: When the drain began, or None.
      drain_is_final: Whether the drain is final.
      stopped: Whether the process is about to end.
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
        """Begins or ends a drain; one that is final does not end."""
        if drained and self.drain_at is None:
            self.drain_at = now
        elif not drained and not self.drain_is_final:
            self.drain_at = None

    def start_final_drain(self, now: float) -> None:
        """Begins a drain that does not end."""
        self.set_drained(True, now)
        self.drain_is_final = True

    def violates_drain(self, now: float) -> bool:
        """Returns whether new work breaks the limit for a drain."""
        return (
            self.drain_at is not None
            and now > self.drain_at + MAX_DRAIN_PROPAGATION_S
        )

    def slowdown(self, now: float) -> float:
        """Returns by how much a cold server is slower than a warm one."""
        age = now - self.started_at - self.settings.start_s
        remaining = max(0.0, 1 - max(0.0, age) / self.settings.cold_s)
        return 1 + (self.settings.cold_factor - 1) * remaining
