"""Settings of a soak."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class SoakSettings:
    """Size, length and randomness of a soak.

    Attributes:
      seed: Seed of all choices. Timing differs between runs of one seed.
      duration_s: Time in which disturbances come.
      domains: Failure domains.
      services: Services; each has a server in every failure domain.
      requests_per_s: Requests a second of the callers of one machine.
      series: Sequences of disturbances that run at the same time.
      network: First two numbers of the loopback addresses.
    """

    seed: int
    duration_s: float = 20.0
    domains: int = 3
    services: tuple[str, ...] = ("browse", "publish")
    requests_per_s: float = 15.0
    series: int = 5
    network: str = "127.40"
