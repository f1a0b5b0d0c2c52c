"""Half-octave latency bins of evidence cells."""

import math

TENTHS_PER_S = 10_000  # Bins count in tenths of a millisecond.
TENTHS_PER_MS = 10
LAST_BIN = 41  # Starts at about 148 s, above any route's timeout.


def latency_bin(latency_s: float) -> int:
    """Returns the bin that holds a latency in seconds."""
    tenths = latency_s * TENTHS_PER_S
    if tenths <= 1.0:
        return 0
    return min(int(2.0 * math.log2(tenths)), LAST_BIN)


def lower_edge_ms(index: int) -> float:
    """Returns the lowest latency of a bin in milliseconds."""
    return 2.0 ** (index / 2.0) / TENTHS_PER_MS


def bin_at_or_above(latency_ms: float) -> int:
    """Returns the first bin whose latencies are all at least the given one."""
    tenths = latency_ms * TENTHS_PER_MS
    if tenths <= 1.0:
        return 0
    return min(math.ceil(2.0 * math.log2(tenths) - 1e-9), LAST_BIN)


def add_bins(target: dict[int, int], source: dict[int, int]) -> None:
    """Adds the counts of `source` to `target`."""
    for index, count in source.items():
        target[index] = target.get(index, 0) + count


def limit_bins(latency: dict[int, int], limit: int) -> dict[int, int]:
    """Merges the lowest bins until at most `limit` remain.

    The lowest ones are merged because verdicts depend on slow requests.
    """
    if len(latency) <= limit:
        return latency
    indices = sorted(latency)
    kept = indices[-limit:]
    merged = {index: latency[index] for index in kept}
    merged[kept[0]] += sum(latency[index] for index in indices[:-limit])
    return merged


def count_at_or_above(latency: dict[int, int], first: int) -> int:
    """Returns how many requests are in bin `first` or above."""
    return sum(count for index, count in latency.items() if index >= first)
