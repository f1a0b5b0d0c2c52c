"""Deployments whose traffic the benchmark models."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """One service with a move.

    Attributes:
      name: Name.
      domains: Failure domains.
      servers: Backend servers of each version.
      rate: Requests of the service per second.
      routes: Share of the requests by route.
      median_ms: Median latency without load.
      sigma: Spread of the lognormal latency.
      failure_ratio: Failures of a sound version.
      deadline_s: Time from the start of the move to its deadline.
      watch_s: Time that the new version is watched after share 1.
      on_deadline: What a driver does when evidence is doubtful.
      slots: Requests that one backend server runs at once.
    """

    name: str
    domains: int
    servers: int
    rate: float
    routes: dict[str, float]
    median_ms: float
    sigma: float = 0.5
    failure_ratio: float = 0.002
    deadline_s: float = 900.0
    watch_s: float = 60.0
    on_deadline: Literal["hold", "finish"] = "hold"
    slots: int = 9

    def compute_utilization(self, rate: float, servers: int) -> float:
        """Returns the part of the slots that a rate of requests uses."""
        busy = rate * self.median_ms / 1000.0
        return busy / max(servers * self.slots, 1)


# Rates keep a server's slots about half busy when one version has all
# traffic. The target size gives 333 calls/s for each backend server.
DEPLOYMENTS = {
    deployment.name: deployment
    for deployment in (
        Deployment(
            name="tintero",
            domains=3,
            servers=4,
            rate=320.0,
            routes={"browse": 0.65, "chapter": 0.3, "tags": 0.05},
            median_ms=50.0,
        ),
        Deployment(
            name="moreton",
            domains=3,
            servers=3,
            rate=120.0,
            routes={"board": 0.6, "book": 0.3, "audit": 0.1},
            median_ms=90.0,
            on_deadline="finish",
        ),
        Deployment(
            name="target",
            domains=8,
            servers=14,
            rate=4800.0,
            routes={"a": 0.6, "b": 0.35, "c": 0.05},
            median_ms=12.0,
        ),
    )
}
