"""Settings of the callers' listener and of calls to backend servers."""

import msgspec


class ForwardingSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Limits of the HTTP path of a node.

    Attributes:
      header_bytes: Largest header section of a request or a response.
      body_bytes: Largest request body.
      replay_bytes: Largest request body that is kept so that the request can
        be retried; a longer body is sent only once.
      read_bytes: Approximate number of response bytes that are buffered
        before reading from the backend server pauses.
      drain_delay_s: Seconds that a stopping node still accepts connections.
      drain_limit_s: Seconds that it then waits for requests in flight.
      header_timeout_s: Seconds that a caller may take for a header section.
      caller_idle_s: Seconds after which an idle caller connection is closed.
      connect_timeout_s: Seconds to connect to a backend server.
      upstream_idle_s: Seconds for which an idle connection to a backend server
        may be reused. Shorter than the servers' own limit (commonly 5 s), so
        that a request is rarely sent on a connection that is being closed.
      upstream_connections: Connections to all backend servers.
      error_body_bytes: Largest body of a shed response that is read so that
        its connection can be reused.
      client_memory_bytes: What the connections of callers may cost the process:
        25 of the largest legal heads at once.
      via: Name of the node in `Via` fields.
    """

    header_bytes: int = 16_384
    body_bytes: int = 10_485_760
    replay_bytes: int = 65_536
    read_bytes: int = 65_536
    drain_delay_s: float = 3.0
    drain_limit_s: float = 30.0
    header_timeout_s: float = 10.0
    caller_idle_s: float = 30.0
    connect_timeout_s: float = 0.5
    upstream_idle_s: float = 3.0
    upstream_connections: int = 4_096
    error_body_bytes: int = 16_384
    client_memory_bytes: int = 33_554_432
    via: str = "vanillamast"
