"""Settings of a sidecar node."""

import dataclasses

from vanillamast_sidecar.balancing.balancing_settings import BalancingSettings
from vanillamast_sidecar.crashes.crash_settings import CrashSettings
from vanillamast_sidecar.field_names import FieldNames
from vanillamast_sidecar.http.response_limits import ResponseLimits


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """A TCP address.

    Attributes:
      host: IP address.
      port: Port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Guarantees of the deployment that the nodes have to keep.

    Attributes:
      drain_s: Time after an acknowledged deregistration in which a server
        may still receive requests.
      grace_s: Time between the stop signal and the kill.
      apply_s: Time in which nodes apply a new configuration.
      retry_ratio: Retries that a service may receive for each request.
      retry_window_s: Window over which that ratio is counted.
      retry_slack: Retries in a window in addition to the ratio.
      expose_share: Share of a service's requests that a failing version may
        receive.
      expose_slack: Requests in addition to that share.
      rollback_s: Time in which a failing version is rolled back.
      cold_over: Requests that a cold server may get in a second, as a multiple
        of its warm-up rate.
      cold_slack: Requests in a second in addition to that.
      evac_s: Time after which servers of an evacuated failure domain get no
        more requests.
      quota_window_s: Window over which an organisation's requests are counted.
      quota_over: Share by which they may exceed its usage cap.
      quota_slack: Requests in a window in addition to that.
    """

    drain_s: float
    grace_s: float
    apply_s: float
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    expose_share: float
    expose_slack: float
    rollback_s: float
    cold_over: float = 1.5
    cold_slack: float = 8.0
    evac_s: float = 5.0
    quota_window_s: float = 5.0
    quota_over: float = 0.1
    quota_slack: float = 20.0


@dataclasses.dataclass(slots=True, frozen=True)
class SidecarSettings:
    """Settings of a node, as its deployment provides them.

    Attributes:
      node: Name of the node.
      failure_domain: Failure domain of the node.
      service: Service of the local server.
      server_address: Address of the local server.
      caller_listener: Address for the machine's callers.
      ready_listener: Address for readiness checks.
      server_listener: Address for heartbeats of the local server.
      peer_listener: Address for other nodes.
      metrics_listener: Address for metrics.
      heartbeat_s: Interval of the local server's heartbeats.
      bounds: Guarantees of the deployment.
      fields: Names of the deployment's header fields.
      response_limits: Limits on the responses of the local server.
      memory_bytes: Memory that the process may use; 0 if it is not limited.
      max_fds: Descriptors that the process may open; 0 if they are not limited.
      crashes: Protection against requests that end their servers.
      balancing: How requests are spread over servers.
      store_writes_per_s: Writes that the store takes in a second, of all
        nodes together.
      link_mbps: Bandwidth of the node's link, in Mbit/s; 0 if it is unknown.
    """

    node: str
    failure_domain: str
    service: str
    server_address: Address
    caller_listener: Address
    ready_listener: Address
    server_listener: Address
    peer_listener: Address
    metrics_listener: Address
    heartbeat_s: float
    bounds: Bounds
    fields: FieldNames
    response_limits: ResponseLimits = dataclasses.field(
        default_factory=ResponseLimits
    )
    memory_bytes: int = 0
    max_fds: int = 0
    crashes: CrashSettings = dataclasses.field(default_factory=CrashSettings)
    balancing: BalancingSettings = dataclasses.field(
        default_factory=BalancingSettings
    )
    store_writes_per_s: float = 400.0
    link_mbps: float = 0.0
