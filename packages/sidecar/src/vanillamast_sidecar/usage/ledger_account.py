"""What a hub knows of the fleet-wide usage of one organisation."""

import dataclasses

from vanillamast_sidecar.usage.domain_demand import DomainDemand


@dataclasses.dataclass(slots=True)
class LedgerAccount:
    """Fleet-wide bucket and demand of an organisation.

    Attributes:
      rate_per_s: Tokens earned a second by the whole fleet.
      burst: Most tokens of the whole fleet.
      level: Tokens; below zero it is a debt.
      joint_level: The level that the whole fleet would have without what the
        failure domains not in contact have used.
      part: Part of the cap that the failure domains in contact use.
      demands: Demand by failure domain.
      weights: Slow demand by failure domain, as last noted while all were
        heard.
      older_weights: The same, as noted before that.
    """

    rate_per_s: float
    burst: float
    level: float
    joint_level: float = 0.0
    part: float = 1.0
    demands: dict[str, DomainDemand] = dataclasses.field(default_factory=dict)
    weights: dict[str, float] = dataclasses.field(default_factory=dict)
    older_weights: dict[str, float] = dataclasses.field(default_factory=dict)
