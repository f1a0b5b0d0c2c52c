"""Evidence against one hypothesis with an unknown time of change."""

import math

FIRST_PERIOD_WEIGHT = 0.25  # Weight of "worse from the first moment".
# Normalizes the sum over n >= 2 of 1 / ((n + 1) ln^2(n + 1)), which is 1.07.
LATER_PERIODS_WEIGHT = (1.0 - FIRST_PERIOD_WEIGHT) / 1.08
MAX_WEIGHTED_RATIO = 1e200  # Keeps products finite.
MAX_LOG_RATIO = 230.0  # Largest logarithm of a ratio, with the same purpose.


def change_point_weight(index: int) -> float:
    """Returns the weight of a change at the index-th period, from 1.

    The weights of all periods sum to less than 1.
    """
    if index <= 1:
        return FIRST_PERIOD_WEIGHT
    return LATER_PERIODS_WEIGHT / ((index + 1) * math.log(index + 1) ** 2)


def to_likelihood_ratios(log_ratios: list[float]) -> list[float]:
    """Returns likelihood ratios, kept finite."""
    return [math.exp(min(value, MAX_LOG_RATIO)) for value in log_ratios]


class ChangePointMixture:
    """Mixture of likelihood ratios over ratios and times of change.

    Every start time and ratio has a fixed weight, so the value is a
    nonnegative supermartingale that starts at 1 as long as the increments
    are likelihood ratios of expectation at most 1. By Ville's inequality it
    ever reaches 1 / alpha with probability at most alpha.

    Attributes:
      weighted_ratios: Weighted likelihood ratio by ratio, over started weights.
    """

    __slots__ = ("weighted_ratios",)

    def __init__(self, weighted_ratios: list[float]):
        self.weighted_ratios = weighted_ratios

    def copy(self) -> "ChangePointMixture":
        """Returns an independent copy."""
        return ChangePointMixture(list(self.weighted_ratios))

    def add_change_point(self, weight: float) -> None:
        """Starts the share of the weight for each ratio."""
        weight_each = weight / len(self.weighted_ratios)
        self.weighted_ratios = [
            weighted + weight_each for weighted in self.weighted_ratios
        ]

    def multiply(self, ratios: list[float]) -> None:
        """Applies one stratum's likelihood ratio for each ratio."""
        self.weighted_ratios = [
            min(weighted * ratio, MAX_WEIGHTED_RATIO)
            for weighted, ratio in zip(
                self.weighted_ratios, ratios, strict=True
            )
        ]

    def total(self) -> float:
        """Returns the sum of the weighted_ratios."""
        return sum(self.weighted_ratios)
