"""Settings of the balancing of load."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class BalancingSettings:
    """How requests are spread over the servers of a service.

    Attributes:
      slot_search: Whether requests ask several servers of the failure domain
        for a free slot before they wait; None for only where the configuration
        has organisations or the servers state their pace.
    """

    slot_search: bool | None = None
