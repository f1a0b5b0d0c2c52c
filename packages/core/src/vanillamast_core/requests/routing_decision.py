"""The log entry of one routing decision."""

import dataclasses


@dataclasses.dataclass(slots=True)
class RoutingDecision:
    """One routing decision, written to the log.

    There is one for each attempt and one for each refusal.

    Attributes:
      route: Name of the route, "" if none matched.
      service: Service that the route names.
      version: Server version that was chosen.
      instance: Backend server instance that was chosen, "" for a refusal.
      address: "ip:port" of the backend server.
      candidates: Number of backend servers that the policy chose from.
      policy: Name of the balancing policy.
      attempt: Number of the attempt, from 1; 0 for a refusal.
      reason: "local", "overflow", "no_local", "panic" or "retry", or the kind
        of the refusal.
    """

    route: str
    service: str
    version: str
    instance: str
    address: str
    candidates: int
    policy: str
    attempt: int
    reason: str
