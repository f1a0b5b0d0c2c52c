"""Settings of a sidecar node."""

import dataclasses

from vanillamast_sidecar.field_names import FieldNames


@dataclasses.dataclass(slots=True, frozen=True)
class Address:
    """A TCP address.

    Attributes:
      host: IP number.
      port: Port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclasses.dataclass(slots=True, frozen=True)
class Bounds:
    """Promises of the deployment that the policy keeps.

    Attributes:
      drain_s: Time after an acknowledged leave in which a server may still
        get requests, in seconds.
      grace_s: Time between the stop signal and the kill, in seconds.
      apply_s: Time in which a configuration comes into force, in seconds.
      retry_ratio: Further attempts a service may get for each request.
      retry_window_s: Window of that ratio, in seconds.
      retry_slack: Further attempts beside the ratio, in a window.
      expose_share: Share of a service's requests that a bad version may get.
      expose_slack: Requests beside that share.
      rollback_s: Time to take a bad version back, in seconds.
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


@dataclasses.dataclass(slots=True, frozen=True)
class SidecarSettings:
    """What a node learns from its deployment.

    Attributes:
      node: Name of the node.
      failure_domain: Failure domain of the node.
      service: Service of the backend server beside the node.
      server_address: Address of that server.
      caller_listener: Where callers of the machine connect.
      ready_listener: Where readiness is asked for.
      server_listener: Where the backend server sends its heartbeats.
      peer_listener: Where other nodes connect.
      metrics_listener: Where metrics are served.
      heartbeat_s: Interval of the server's heartbeats, in seconds.
      bounds: Promises of the deployment.
      fields: Names of the deployment's header fields.
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
