"""Summary of a load generator's records."""

import collections

import msgspec

from vanillamast_testing.request_record import RequestRecord


class LoadSummary(msgspec.Struct):
    """Counts and latencies of a load.

    Attributes:
      sent: Requests sent.
      served: Answered by a backend server with success and a whole body.
      refused: Refusals by kind.
      failed: Answers of backend servers without success, by status.
      lost: Requests without any answer.
      cut_off: Answers whose body is incomplete or another request's.
      overrun: Requests not sent because too many were in flight.
      latency_ms: Percentiles of the served requests, by name.
      versions: Answers by version of the backend server.
    """

    sent: int
    served: int
    refused: dict[str, int]
    failed: dict[str, int]
    lost: int
    cut_off: int
    overrun: int
    latency_ms: dict[str, float]
    versions: dict[str, int]


PERCENTILES = {"p50": 0.50, "p90": 0.90, "p99": 0.99, "max": 1.0}


def summarize(records: list[RequestRecord], overrun: int = 0) -> LoadSummary:
    """Returns the summary of records."""
    served = [record for record in records if record.served]
    lost = [record for record in records if record.status == 0]
    refused = collections.Counter(r.refusal for r in records if r.refusal)
    failed = collections.Counter(
        str(record.status)
        for record in records
        if record.status >= 300 and not record.refusal
    )
    versions = collections.Counter(r.version for r in records if r.version)
    return LoadSummary(
        sent=len(records),
        served=len(served),
        refused=dict(refused),
        failed=dict(failed),
        lost=len(lost),
        cut_off=sum(record.cut_off for record in records),
        overrun=overrun,
        latency_ms=percentiles([record.latency_ms for record in served]),
        versions=dict(versions),
    )


def percentiles(values: list[float]) -> dict[str, float]:
    """Returns the percentiles of values (nearest rank), {} without any."""
    if not values:
        return {}
    ordered = sorted(values)
    last = len(ordered) - 1
    return {
        name: round(ordered[min(last, int(share * len(ordered)))], 3)
        for name, share in PERCENTILES.items()
    }
