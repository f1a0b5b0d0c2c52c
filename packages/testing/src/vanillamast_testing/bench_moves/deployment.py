"""Deployments whose traffic the benchmark models."""

import dataclasses
from typing import Literal


@dataclasses.dataclass(slots=True, frozen=True)
class Deployment:
    """A service and its move.

    Attributes:
      name: Name in flags and results.
      domains: Failure domains.
      servers: Backend servers of each version.
      rate: Requests of the service per second.
      routes: Share of the requests by route.
      median_ms: Median latency without load.
      sigma: Standard deviation of the logarithm of the latency.
      failure_ratio: Fraction of failed requests of a sound version.
      deadline_s: Time from the start of the move to its deadline.
      watch_s: Time for which the new version is watched after share 1.
      on_deadline: What the driver does at the deadline if the evidence is
        inconclusive.
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
        """Returns the fraction of the slots that a rate of requests uses."""
        busy = rate * self.median_ms / 1000.0
        return busy / max(servers * self.slots, 1)


# The rates use about half of the slots of a version that has all traffic. At
# the target size each backend server gets 333 calls/s.
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
