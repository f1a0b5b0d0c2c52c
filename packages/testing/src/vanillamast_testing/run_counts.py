"""Counts of requests at a fake backend server."""

import collections

import msgspec

MAX_REQUEST_IDS = 500_000


class RunCounts(msgspec.Struct):
    """Counts of requests; the answer of `GET /control/runs`.

    Attributes:
      runs: How many times each request id began to run.
      completed: Requests that ran to their end.
      shed: Requests refused without running.
      late: Requests that waited past their deadline and did not run.
      stopped: Requests whose work stopped at the deadline or because the
        caller disconnected.
      late_arrivals: Requests that arrived more than 3 s after the drain
        began.
      interrupted: Requests in flight when the process stopped.
    """

    runs: dict[str, int] = {}
    completed: int = 0
    shed: int = 0
    late: int = 0
    stopped: int = 0
    late_arrivals: int = 0
    interrupted: int = 0

    def started(self, request_id: str) -> None:
        """Counts a run; above the limit the oldest id is dropped."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if len(self.runs) > MAX_REQUEST_IDS:
            del self.runs[next(iter(self.runs))]

    def doubled(self) -> list[str]:
        """Returns the request ids that ran more than once."""
        return [name for name, count in self.runs.items() if count > 1]


def merge_runs(counts: list[RunCounts]) -> dict[str, int]:
    """Returns how many times each request id ran on any of the servers."""
    total: collections.Counter[str] = collections.Counter()
    for item in counts:
        total.update(item.runs)
    return dict(total)
