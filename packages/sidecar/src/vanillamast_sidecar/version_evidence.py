"""What a backend server's answers say about its version."""

import math

import msgspec

# Bins of the histogram double every second bin from 1 ms on.
BINS_PER_OCTAVE = 2
BIN_COUNT = 32


class RouteEvidence(msgspec.Struct, array_like=True):
    """Outcomes of the requests of one route.

    Attributes:
      count: Requests that ended.
      errors: Those that failed.
      bins: Durations of the others; bin i ends at 2 ** ((i + 1) / 2) ms.
    """

    count: int
    errors: int
    bins: list[int]


class VersionEvidence(msgspec.Struct, array_like=True):
    """Cumulative outcomes at one backend server since a move was ordered.

    Attributes:
      version: Version of the server.
      routes: Outcomes by route.
      idle: Whether the server runs nothing and nothing waits for it.
      share: Share of the new version that this node last heard of.
    """

    version: str
    routes: dict[str, RouteEvidence]
    idle: bool = True
    share: float = 0.0

    def add(self, route: str, failed: bool, duration_s: float) -> None:
        """Counts the end of a request."""
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
    """Returns the bin of a duration in seconds."""
    ms = max(1.0, duration_s * 1000.0)
    return min(BIN_COUNT - 1, int(math.log2(ms) * BINS_PER_OCTAVE))


def merge_evidence(reports: list[VersionEvidence]) -> dict[str, RouteEvidence]:
    """Returns the sums over several servers, by route."""
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
