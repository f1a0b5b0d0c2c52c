"""What a node knows of the usage of one organisation."""

import dataclasses

from vanillamast_sidecar.admission.decaying_rate import DecayingRate
from vanillamast_sidecar.organisations.organisation import Organisation
from vanillamast_sidecar.usage.token_bucket import TokenBucket

# Long enough that the rate of one node's few requests is more than noise.
OWN_RATE_HALF_LIFE_S = 5.0


def _make_rate() -> DecayingRate:
    return DecayingRate(OWN_RATE_HALF_LIFE_S)


@dataclasses.dataclass(slots=True)
class NodeAccount:
    """Usage of an organisation on this node.

    Attributes:
      id: Id of the organisation.
      organisation: The organisation with its cap, as last seen.
      bucket: Bound on what this node admits, whatever the hubs say.
      credit: Part of a request that the share has earned; a whole one is
        admitted.
      asked: Requests asked for since the node started.
      admitted: Requests admitted, without those given back.
      demand: Rate of the requests asked for.
      usage: Rate of the requests admitted, while hubs are heard.
      room_at: When there is room for the requests refused so far, in seconds.
    """

    id: int
    organisation: Organisation
    bucket: TokenBucket
    credit: float
    asked: int = 0
    admitted: int = 0
    demand: DecayingRate = dataclasses.field(default_factory=DecayingRate)
    usage: DecayingRate = dataclasses.field(default_factory=_make_rate)
    room_at: float = 0.0
