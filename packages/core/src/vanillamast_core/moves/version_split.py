"""Split of one node's requests between two versions."""

import random


class VersionSplit:
    """Splits requests by error diffusion with a random threshold.

    The credit grows by the share at each request; a request goes to the new
    version when the credit reaches the threshold. A new threshold is drawn
    each time, so a caller whose requests repeat in a fixed order still reaches
    both versions with each kind of request. After n requests, the number sent
    to the new version differs from n times the share by less than 2.

    Attributes:
      share: Authorized share of the new version, from 0 to 1.
      credit: Requests due to the new version, between -1 and 1.
      threshold: Credit at which the next request goes to the new version.
      rng: Source of the thresholds.
    """

    def __init__(self, share: float, rng: random.Random):
        self.rng = rng
        self.credit = 0.0
        self.threshold = rng.random()
        self.share = 0.0
        self.set_share(share)

    def set_share(self, share: float) -> None:
        """Applies a new authorized share from the next request on."""
        self.share = min(max(share, 0.0), 1.0)

    def choose(self) -> bool:
        """Returns whether the next request goes to the new version."""
        if self.share <= 0.0:
            return False
        if self.share >= 1.0:
            return True
        self.credit += self.share
        if self.credit < self.threshold:
            return False
        self.credit -= 1.0
        self.threshold = self.rng.random()
        return True
