"""An e-process for a change at an unknown time."""

import math

FIRST_PERIOD_WEIGHT = 0.25  # The version is worse from the first period on.
# The sum over n >= 2 of 1 / ((n + 1) ln^2(n + 1)) is 1.07, so 1.08 bounds it.
LATER_PERIODS_WEIGHT = (1.0 - FIRST_PERIOD_WEIGHT) / 1.08
# Both limits keep products finite.
MAX_WEIGHTED_RATIO = 1e200
MAX_LOG_RATIO = 230.0


def change_point_weight(index: int) -> float:
    """Returns the prior weight of a change at the period `index`, from 1.

    The weights of all periods sum to less than 1.
    """
    if index <= 1:
        return FIRST_PERIOD_WEIGHT
    return LATER_PERIODS_WEIGHT / ((index + 1) * math.log(index + 1) ** 2)


def to_likelihood_ratios(log_ratios: list[float]) -> list[float]:
    """Returns the likelihood ratios, limited so that products stay finite."""
    return [math.exp(min(value, MAX_LOG_RATIO)) for value in log_ratios]


class ChangePointMixture:
    """Mixture of likelihood ratios over rate ratios and change points.

    Each pair of a change point and a rate ratio has a fixed prior weight. The
    sum, with the weight of the change points still ahead, is therefore a
    nonnegative supermartingale that starts at 1, as long as the factors are
    likelihood ratios with an expectation of at most 1. By Ville's inequality
    it ever reaches 1 / alpha with a probability of at most alpha.

    Attributes:
      weighted_ratios: Likelihood ratio for each rate ratio, summed over the
        change points so far with their weights.
    """

    __slots__ = ("weighted_ratios",)

    def __init__(self, weighted_ratios: list[float]):
        self.weighted_ratios = weighted_ratios

    def copy(self) -> "ChangePointMixture":
        """Returns an independent copy."""
        return ChangePointMixture(list(self.weighted_ratios))

    def add_change_point(self, weight: float) -> None:
        """Adds a change point, its weight divided equally over rate ratios."""
        weight_each = weight / len(self.weighted_ratios)
        self.weighted_ratios = [
            weighted + weight_each for weighted in self.weighted_ratios
        ]

    def multiply(self, ratios: list[float]) -> None:
        """Multiplies by one stratum's likelihood ratio for each rate ratio."""
        self.weighted_ratios = [
            min(weighted * ratio, MAX_WEIGHTED_RATIO)
            for weighted, ratio in zip(
                self.weighted_ratios, ratios, strict=True
            )
        ]

    def total(self) -> float:
        """Returns the value without the weight of later change points."""
        return sum(self.weighted_ratios)
