"""The version chooser of the bench, which has no move."""

import random


class NoSplit:
    """Never chooses a new version."""

    def __init__(self, share: float, rng: random.Random):
        self.share = share

    def choose(self) -> bool:
        """Returns False."""
        return False
