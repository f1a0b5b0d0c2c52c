"""Counters, gauges and latency histograms in the text exposition format."""

from hdrh.histogram import HdrHistogram

from vanillamast_sidecar.observability.metric_texts import METRIC_TEXTS

LOWEST_US = 1
HIGHEST_US = 60_000_000  # Above every timeout.
DIGITS = 2  # Precision of one percent, for little memory.
QUANTILES = (50.0, 90.0, 99.0, 99.9)
PREFIX = "vanillamast_"


class Metrics:
    """Values that the node exposes.

    Attributes:
      counters: Counts by name and labels.
      gauges: Current values by name.
      histograms: Durations by name, in microseconds.
      sums: Sums of these durations by name, in seconds.
    """

    def __init__(self) -> None:
        self.counters: dict[tuple[str, tuple[tuple[str, str], ...]], int] = {}
        self.gauges: dict[str, float] = {}
        self.histograms: dict[str, HdrHistogram] = {}
        self.sums: dict[str, float] = {}

    def count(self, name: str, **labels: str) -> None:
        """Adds one to a counter."""
        key = (name, tuple(labels.items()))
        self.counters[key] = self.counters.get(key, 0) + 1

    def set(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self.gauges[name] = value

    def observe(self, name: str, seconds: float) -> None:
        """Records a duration."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self.histograms[name] = histogram
            self.sums[name] = 0.0
        self.sums[name] += seconds
        histogram.record_value(
            min(HIGHEST_US, max(LOWEST_US, int(seconds * 1e6)))
        )

    def render(self) -> bytes:
        """Returns all metrics in the text exposition format."""
        lines: list[str] = []
        described = ""
        for (name, labels), value in sorted(self.counters.items()):
            if name != described:
                described = name
                lines.extend(_header(name, f"{name}_total", "counter"))
            text = ",".join(f'{key}="{label}"' for key, label in labels)
            braces = f"{{{text}}}" if text else ""
            lines.append(f"{PREFIX}{name}_total{braces} {value}")
        for name, gauge in sorted(self.gauges.items()):
            lines.extend(_header(name, name, "gauge"))
            lines.append(f"{PREFIX}{name} {gauge:g}")
        for name, histogram in sorted(self.histograms.items()):
            lines.extend(_header(name, f"{name}_seconds", "summary"))
            full = f"{PREFIX}{name}_seconds"
            for quantile in QUANTILES:
                at = histogram.get_value_at_percentile(quantile) / 1e6
                lines.append(f'{full}{{quantile="{quantile / 100:g}"}} {at:g}')
            lines.append(f"{full}_count {histogram.get_total_count()}")
            lines.append(f"{full}_sum {self.sums[name]:.6f}")
        return ("\n".join(lines) + "\n").encode()


def _header(name: str, exposed: str, kind: str) -> tuple[str, str]:
    """Returns the HELP and TYPE lines of a metric."""
    return (
        f"# HELP {PREFIX}{exposed} {METRIC_TEXTS[name]}",
        f"# TYPE {PREFIX}{exposed} {kind}",
    )
