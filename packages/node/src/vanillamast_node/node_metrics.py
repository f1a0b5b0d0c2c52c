"""Counters and histograms of a node."""

import time
from typing import Any

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class NodeMetrics:
    """Metrics that operators read with `show metrics`.

    Attributes:
      started_at: Wall time of the start, seconds since the epoch.
      requests: Counters of attempt outcomes, refusals by reason, and
        failures of the core.
      upstream_us: Latency of attempts at backend servers.
      added_us: Latency that the node itself added to answered requests.
      event_us: Time that the core took for one event.
    """

    def __init__(self) -> None:
        self.started_at = time.time()
        self.requests: dict[str, int] = {}
        self.upstream_us = new_histogram()
        self.added_us = new_histogram()
        self.event_us = new_histogram()

    def count(self, name: str) -> None:
        """Adds one to a counter of `requests`."""
        self.requests[name] = self.requests.get(name, 0) + 1

    def record_added_time(self, seconds: float) -> None:
        """Records the latency that the node added to an answered request."""
        self.added_us.record_value(max(1, int(seconds * US_PER_S)))

    def summarize(self) -> dict[str, Any]:
        """Returns all metrics as JSON values."""
        processor_s = time.process_time()
        uptime_s = time.time() - self.started_at
        return {
            "uptime_s": round(uptime_s, 1),
            "processor_share": round(processor_s / max(uptime_s, 0.001), 4),
            "requests": self.requests,
            "upstream_us": summarize_histogram(self.upstream_us),
            "added_us": summarize_histogram(self.added_us),
            "event_us": summarize_histogram(self.event_us),
        }


def new_histogram() -> HdrHistogram:
    """Returns an empty histogram of microseconds."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def summarize_histogram(histogram: HdrHistogram) -> dict[str, int]:
    """Returns the count, some percentiles and the maximum."""
    values = {
        f"p{p:g}": int(histogram.get_value_at_percentile(p))
        for p in PERCENTILES
    }
    return {
        "count": histogram.get_total_count(),
        **values,
        "max": int(histogram.get_max_value()),
    }
