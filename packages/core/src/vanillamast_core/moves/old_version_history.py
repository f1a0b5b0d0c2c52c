"""The old version's recent outcomes, from which its baseline is taken."""

import collections
import dataclasses

from vanillamast_core.moves.baseline import Baseline
from vanillamast_core.moves.evidence import EvidenceCell
from vanillamast_core.moves.judge_settings import JudgeSettings
from vanillamast_core.moves.latency_bins import add_bins, lower_edge_ms
from vanillamast_core.moves.latency_histogram import first_bin_above

WINDOW_S = 10.0  # Long enough for a stable ratio, short enough for a burst.
MIN_REQUESTS = 30  # A ratio over fewer requests is mostly noise.


@dataclasses.dataclass(slots=True)
class HistoryWindow:
    """Outcomes of one window."""

    index: int
    requests: int = 0
    bad: int = 0
    latency: dict[int, int] = dataclasses.field(default_factory=dict)


class OldVersionHistory:
    """Keeps the old version's outcomes by window.

    Attributes:
      settings: The settings of the judge.
      windows: Windows by index, oldest first.
    """

    def __init__(self, settings: JudgeSettings):
        self.settings = settings
        self.windows: collections.OrderedDict[int, HistoryWindow] = (
            collections.OrderedDict()
        )

    def add(self, cell: EvidenceCell) -> None:
        """Adds a cell of the old version."""
        index = int(cell.bucket * self.settings.bucket_s // WINDOW_S)
        window = self.windows.get(index)
        if window is None:
            window = self.windows[index] = HistoryWindow(index)
            while len(self.windows) > self.settings.history_s // WINDOW_S:
                self.windows.popitem(last=False)
        window.requests += cell.requests
        window.bad += cell.failures + cell.connect_failures
        add_bins(window.latency, cell.latency)

    def baseline(self) -> Baseline:
        """Returns the worst window's failure ratio and the overall latency."""
        requests = sum(w.requests for w in self.windows.values())
        if not requests:
            return Baseline()
        ratios = [sum(w.bad for w in self.windows.values()) / requests]
        latency: dict[int, int] = {}
        for window in self.windows.values():
            add_bins(latency, window.latency)
            if window.requests >= MIN_REQUESTS:
                ratios.append(window.bad / window.requests)
        return Baseline(max(ratios), self.slow_ms(latency))

    def slow_ms(self, latency: dict[int, int]) -> float:
        """Returns the upper edge of the quantile's bin in ms, 0 if unknown."""
        total = sum(latency.values())
        if total < self.settings.min_latencies:
            return 0.0
        weights = {index: float(count) for index, count in latency.items()}
        wanted = self.settings.slow_quantile * total
        return lower_edge_ms(first_bin_above(weights, wanted))
