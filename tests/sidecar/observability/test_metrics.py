"""Tests of the metrics and their descriptions."""

import pathlib
import re

from vanillamast_sidecar.observability.metric_texts import METRIC_TEXTS
from vanillamast_sidecar.observability.metrics import Metrics

SOURCES = pathlib.Path(__file__).parents[3] / "packages" / "sidecar" / "src"
NAME = re.compile(r"metrics\.(?:count|set|observe)\(\s*\"([a-z_]+)\"")


class TestMetrics:
    """The text that a scraper reads."""

    def test_every_metric_is_described(self):
        """Guards against a metric that cannot be exposed or looked up."""
        used = set()
        for path in SOURCES.rglob("*.py"):
            used.update(NAME.findall(path.read_text()))
        assert used == set(METRIC_TEXTS)

    def test_each_metric_has_one_type(self):
        """Guards against a series that is declared again for each label."""
        metrics = Metrics()
        metrics.count("requests", outcome="answered")
        metrics.count("requests", outcome="overloaded")
        metrics.count("retries", outcome="sent")
        metrics.set("peers", 3)
        metrics.observe("request_duration", 0.12)
        text = metrics.render().decode()
        types = re.findall(r"# TYPE (\S+) (\S+)", text)
        assert types == [
            ("vanillamast_requests_total", "counter"),
            ("vanillamast_retries_total", "counter"),
            ("vanillamast_peers", "gauge"),
            ("vanillamast_request_duration_seconds", "summary"),
        ]
        assert 'vanillamast_requests_total{outcome="overloaded"} 1' in text
        assert "vanillamast_request_duration_seconds_count 1" in text
