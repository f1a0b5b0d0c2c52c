"""A version split for a service without a move."""

import random


class NoSplit:
    """Never chooses the new version."""

    def __init__(self, share: float, rng: random.Random):
        self.share = share

    def choose(self) -> bool:
        """Returns False."""
        return False
