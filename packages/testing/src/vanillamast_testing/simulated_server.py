"""A backend server in the in-memory network."""

import dataclasses

from vanillamast_core.control import ServerReport


@dataclasses.dataclass(slots=True)
class SimulatedServer:
    """A backend server's process state and behaviour.

    Attributes:
      service: Its service.
      version: Its server version.
      address: Its "ip:port".
      running: Whether its process runs.
      paused: Whether its process is stopped.
      state: Server state that it announces.
      failure_ratio: Share of its requests that fail.
      latency_s: Median time of a request.
      bad_after: Time from which it fails or is slow, None for never.
      bad_route: Route that is affected, "" for all.
      bad_failure_ratio: Failure ratio of affected requests.
      bad_latency_factor: Factor on the latency of affected requests.
      served: Requests that reached it.
    """

    service: str
    version: str
    address: str
    running: bool = True
    paused: bool = False
    state: str = "serving"
    failure_ratio: float = 0.001
    latency_s: float = 0.005
    bad_after: float | None = None
    bad_route: str = ""
    bad_failure_ratio: float = 0.0
    bad_latency_factor: float = 1.0
    served: int = 0

    def report(self) -> ServerReport:
        """Returns its report to its node."""
        return ServerReport(
            address=self.address,
            service=self.service,
            version=self.version,
            state=self.state,
        )

    def is_bad(self, route: str, now: float) -> bool:
        """Returns whether a request on a route is affected now."""
        if self.bad_after is None or now < self.bad_after:
            return False
        return not self.bad_route or self.bad_route == route
