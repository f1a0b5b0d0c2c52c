"""Settings of the fake backend server."""

import dataclasses
import enum


class LoadReport(enum.StrEnum):
    """What load the backend server reports."""

    MEASURED = "measured"
    IDLE = "idle"  # Always 0, however busy it is.
    BUSY = "busy"  # Always 1, however idle it is.


@dataclasses.dataclass(frozen=True, slots=True)
class BackendSettings:
    """How a fake backend server behaves apart from its badness.

    Attributes:
      service: Service that it belongs to.
      version: Its version.
      node_servers: "ip:port" on which its node accepts announcements; ""
        announces nothing.
      node_callers: "ip:port" on which its node accepts requests; "" makes
        downstream calls fail.
      slots: Requests that run at once.
      queue_limit: Requests that may wait for a slot; more are shed.
      connections: Connections that it announces.
      work_ms: Time that a request takes when warm.
      start_s: Seconds in state starting.
      cold_s: Seconds, from the start of serving, in which work is slower.
      cold_factor: Factor by which the first request is slower.
      load_report: What load it reports.
      load_lag_s: Age of the reported load.
      announce_every_s: Seconds between announcements.
      drain_limit_s: Longest wait for requests in flight at a stop.
      run_log: File that takes the id of each request that begins to run, one
        a line; it outlives a killed process. "" for none.
    """

    service: str
    version: str
    node_servers: str = ""
    node_callers: str = ""
    slots: int = 9
    queue_limit: int = 4
    connections: int = 120
    work_ms: float = 5.0
    start_s: float = 0.5
    cold_s: float = 3.0
    cold_factor: float = 4.0
    load_report: LoadReport = LoadReport.MEASURED
    load_lag_s: float = 0.0
    announce_every_s: float = 1.0
    drain_limit_s: float = 30.0
    run_log: str = ""
