"""Draws counts from probability distributions."""

import functools
import math
import random

from vanillamast_core.moves.latency_bins import LAST_BIN, lower_edge_ms

# From this mean on, Poisson and binomial draws use a normal approximation.
NORMAL_APPROXIMATION_MEAN = 12.0
LOG_MEDIAN_STEP = 0.02  # Resolution of the cache of latency distributions.


def draw_poisson(rng: random.Random, mean: float) -> int:
    """Returns a Poisson draw."""
    if mean >= NORMAL_APPROXIMATION_MEAN:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    limit, product, count = math.exp(-mean), rng.random(), 0
    while product > limit:
        product *= rng.random()
        count += 1
    return count


def draw_binomial(rng: random.Random, trials: int, probability: float) -> int:
    """Returns a binomial draw."""
    if trials <= 0 or probability <= 0.0:
        return 0
    if probability >= 1.0:
        return trials
    if probability > 0.5:
        return trials - draw_binomial(rng, trials, 1.0 - probability)
    mean = trials * probability
    if mean >= NORMAL_APPROXIMATION_MEAN:
        spread = math.sqrt(mean * (1.0 - probability))
        return min(trials, max(0, round(rng.gauss(mean, spread))))
    count, position, scale = 0, 0, math.log1p(-probability)
    while True:
        position += 1 + int(math.log(1.0 - rng.random()) / scale)
        if position > trials:
            return count
        count += 1


def draw_split(
    rng: random.Random, total: int, weights: list[float]
) -> list[int]:
    """Returns a multinomial draw."""
    counts = []
    left = sum(weights)
    for weight in weights:
        count = draw_binomial(rng, total, weight / left) if left > 0 else 0
        counts.append(count)
        total -= count
        left -= weight
    return counts


def draw_latencies(
    rng: random.Random, total: int, median_ms: float, sigma: float
) -> dict[int, int]:
    """Returns lognormal latencies as counts by bin."""
    if total <= 0:
        return {}
    bins = compute_lognormal_bins(
        round(math.log(median_ms) / LOG_MEDIAN_STEP), sigma
    )
    counts = draw_split(rng, total, [weight for _, weight in bins])
    return {
        index: count
        for (index, _), count in zip(bins, counts, strict=True)
        if count
    }


@functools.lru_cache(maxsize=4096)
def compute_lognormal_bins(step: int, sigma: float) -> list[tuple[int, float]]:
    """Returns latency bins with their probability, highest bin first.

    Args:
      step: Logarithm of the median, in units of `LOG_MEDIAN_STEP`.
      sigma: Standard deviation of the logarithm.
    """
    mean = step * LOG_MEDIAN_STEP

    def compute_cdf(index: int) -> float:
        edge = math.log(lower_edge_ms(index))
        return 0.5 * (1.0 + math.erf((edge - mean) / (sigma * math.sqrt(2.0))))

    edges = [0.0, *(compute_cdf(i) for i in range(1, LAST_BIN + 1)), 1.0]
    bins = [(i, edges[i + 1] - edges[i]) for i in range(LAST_BIN + 1)]
    return [pair for pair in reversed(bins) if pair[1] > 1e-6]
