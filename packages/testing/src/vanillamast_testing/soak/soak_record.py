"""What happened in a soak."""

import dataclasses

from vanillamast_testing.emulator import Backend
from vanillamast_testing.soak.disturbance import Disturbance
from vanillamast_testing.soak.limit_period import LimitPeriod
from vanillamast_testing.soak.sent_request import SentRequest


@dataclasses.dataclass(slots=True)
class SoakRecord:
    """What callers sent, what servers ran, and what was done to the fleet.

    Attributes:
      requests: Requests of callers that have ended.
      backends: All incarnations of backend servers.
      machines: Names of machines, by their host.
      disturbances: What was done, in order.
      limits: Times in which servers named a rate limit.
      unserved: Paths that were not served after the end of all disturbances.
    """

    requests: list[SentRequest] = dataclasses.field(default_factory=list)
    backends: list[Backend] = dataclasses.field(default_factory=list)
    machines: dict[str, str] = dataclasses.field(default_factory=dict)
    disturbances: list[Disturbance] = dataclasses.field(default_factory=list)
    limits: list[LimitPeriod] = dataclasses.field(default_factory=list)
    unserved: list[str] = dataclasses.field(default_factory=list)
