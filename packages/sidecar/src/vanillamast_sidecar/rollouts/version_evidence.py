"""Outcomes of requests, as evidence on a server version."""

import math

import msgspec

# Histogram bins start at 1 ms and double every second bin.
BINS_PER_OCTAVE = 2
BIN_COUNT = 32


class RouteEvidence(msgspec.Struct, array_like=True):
    """Outcomes of the requests of one route.

    Attributes:
      count: Finished requests.
      errors: Requests that failed.
      bins: Histogram of the durations of the others; bin i ends at
        2 ** ((i + 1) / 2) ms.
    """

    count: int
    errors: int
    bins: list[int]


class VersionEvidence(msgspec.Struct, array_like=True):
    """Cumulative outcomes at one backend server since the start of a move.

    Attributes:
      version: Server version.
      routes: Outcomes by route.
      idle: Whether no request runs on the server or waits for it.
      share: Share of the new version that the server's node knows.
    """

    version: str
    routes: dict[str, RouteEvidence]
    idle: bool = True
    share: float = 0.0

    def add(self, route: str, failed: bool, duration_s: float) -> None:
        """Counts a finished request."""
        evidence = self.routes.get(route)
        if evidence is None:
            evidence = RouteEvidence(0, 0, [0] * BIN_COUNT)
            self.routes[route] = evidence
        evidence.count += 1
        if failed:
            evidence.errors += 1
        else:
            evidence.bins[duration_bin(duration_s)] += 1


def duration_bin(duration_s: float) -> int:
    """Returns the histogram bin of a duration in seconds."""
    ms = max(1.0, duration_s * 1000.0)
    return min(BIN_COUNT - 1, int(math.log2(ms) * BINS_PER_OCTAVE))


def merge_evidence(reports: list[VersionEvidence]) -> dict[str, RouteEvidence]:
    """Returns the sums over all reports, by route."""
    total: dict[str, RouteEvidence] = {}
    for report in reports:
        for route, evidence in report.routes.items():
            known = total.get(route)
            if known is None:
                total[route] = RouteEvidence(
                    evidence.count, evidence.errors, list(evidence.bins)
                )
                continue
            known.count += evidence.count
            known.errors += evidence.errors
            for index, value in enumerate(evidence.bins):
                known.bins[index] += value
    return total
