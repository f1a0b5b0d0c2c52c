"""Evidence against one hypothesis with an unknown time of change."""

import math

START_WEIGHT = 0.25  # Weight of "worse from the first moment".
# Normalizes the sum over n >= 2 of 1 / ((n + 1) ln^2(n + 1)), which is 1.07.
LATER_WEIGHT = (1.0 - START_WEIGHT) / 1.08
MAX_MASS = 1e200  # Keeps products finite.
MAX_LOG = 230.0  # Largest logarithm of a factor, with the same purpose.


def onset_weight(index: int) -> float:
    """Returns the weight of a change at the index-th period, from 1.

    The weights of all periods sum to less than 1.
    """
    if index <= 1:
        return START_WEIGHT
    return LATER_WEIGHT / ((index + 1) * math.log(index + 1) ** 2)


def to_factors(log_ratios: list[float]) -> list[float]:
    """Returns likelihood ratios, kept finite."""
    return [math.exp(min(value, MAX_LOG)) for value in log_ratios]


class ChangeMixture:
    """Mixture of likelihood ratios over ratios and times of change.

    Every start time and ratio has a fixed weight, so the value is a
    nonnegative supermartingale that starts at 1 as long as the increments
    are likelihood ratios of expectation at most 1. By Ville's inequality it
    ever reaches 1 / alpha with probability at most alpha.

    Attributes:
      masses: Weighted likelihood ratio by ratio, over started weights.
    """

    __slots__ = ("masses",)

    def __init__(self, masses: list[float]):
        self.masses = masses

    def copy(self) -> "ChangeMixture":
        """Returns an independent copy."""
        return ChangeMixture(list(self.masses))

    def open(self, weight: float) -> None:
        """Starts the share of the weight for each ratio."""
        part = weight / len(self.masses)
        self.masses = [mass + part for mass in self.masses]

    def multiply(self, factors: list[float]) -> None:
        """Applies one stratum's likelihood ratio for each ratio."""
        self.masses = [
            min(mass * factor, MAX_MASS)
            for mass, factor in zip(self.masses, factors, strict=True)
        ]

    def total(self) -> float:
        """Returns the sum of the masses."""
        return sum(self.masses)
