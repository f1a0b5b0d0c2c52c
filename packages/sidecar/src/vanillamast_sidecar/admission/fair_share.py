"""Which organisations use more than their share of a backend server."""

from collections.abc import Iterable

from vanillamast_sidecar.admission.decaying_rate import DecayingRate
from vanillamast_sidecar.organisations.organisation import Organisation

# An organisation yields to the others of its priority once it uses this
# multiple of the common share. Requests arrive in clumps: at twice the share,
# one organisation in calm seldom yields.
MAX_SHARE = 2.0
# Organisations below this share of all use never yield: a few requests of a
# small one would else look like many times its usual.
MIN_SHARE = 0.05
# Small organisations send a request to a server every few seconds.
HALF_LIFE_S = 4.0
# Weight of an organisation without a usage cap.
DEFAULT_WEIGHT = 1.0


class FairShare:
    """Compares what organisations use of a server with their share of it.

    Shares are in proportion to the usage caps, as caps follow the usual demand
    of an organisation. One that asks for many times its usual is the only one
    above its share, whatever its size.

    Attributes:
      weights: Weight of each organisation, by name.
      usage: Slot-seconds a second that each organisation used recently.
    """

    def __init__(self) -> None:
        self.weights: dict[str, float] = {}
        self.usage: dict[str, DecayingRate] = {}

    def apply_organisations(
        self, organisations: Iterable[Organisation]
    ) -> None:
        """Replaces the organisations; forgets the usage of removed ones."""
        self.weights = {
            organisation.name: organisation.rate_per_s or DEFAULT_WEIGHT
            for organisation in organisations
        }
        self.usage = {
            name: rate
            for name, rate in self.usage.items()
            if name in self.weights
        }

    def add(self, organisation: str, held_s: float, now: float) -> None:
        """Counts how long a request of an organisation held a slot."""
        if organisation in self.weights:
            rate = self.usage.setdefault(
                organisation, DecayingRate(HALF_LIFE_S)
            )
            rate.add(held_s, now)

    def is_over(self, organisation: str, now: float) -> bool:
        """Returns whether an organisation uses much more than its share."""
        rate = self.usage.get(organisation)
        if rate is None or len(self.usage) < 2:
            return False
        others = sum(
            other.value(now)
            for name, other in self.usage.items()
            if name != organisation
        )
        weight = self.weights[organisation]
        other_weight = sum(
            self.weights[name] for name in self.usage if name != organisation
        )
        common_share = others / other_weight * weight
        used = rate.value(now)
        return used > max(MAX_SHARE * common_share, MIN_SHARE * (used + others))
