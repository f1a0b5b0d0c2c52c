"""Summaries of request outcomes that nodes exchange."""

import enum

import msgspec


class Side(enum.IntEnum):
    """Which version of a move a request went to."""

    OLD = 0
    NEW = 1


class EvidenceCell(msgspec.Struct, array_like=True, kw_only=True):
    """Outcomes of requests that share move, route, side and time.

    Cells with equal keys merge by addition.

    Attributes:
      move: `Move.started_at`.
      route: Name of the route.
      failure_domain: Failure domain of the nodes that sent the requests.
      bucket: Wall time divided by the bucket length.
      side: Version that the requests went to.
      instance: Backend server instance, "" for the old version.
      server_domain: Failure domain of the backend server, "" for the old
        version.
      requests: Requests that ended.
      failures: Of these, the ones that failed after connecting.
      connect_failures: Of these, the ones that did not connect.
      latency: Count of successful warm requests by half-octave bin:
        bin b holds latencies of [2^(b/2), 2^((b+1)/2)) tenths of a ms.
    """

    move: int
    route: str
    failure_domain: str
    bucket: int
    side: Side
    instance: str = ""
    server_domain: str = ""
    requests: int = 0
    failures: int = 0
    connect_failures: int = 0
    latency: dict[int, int] = {}
