"""Settings of the operators' command."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CliSettings:
    """Settings for calling nodes and printing results.

    Attributes:
      nodes: "ip:port" of the nodes' operator listeners, tried in order.
      output: Name of the output format.
      timeout_s: Longest wait for an answer.
      connect_timeout_s: Longest wait for a connection; short, so that an
        unreachable node leaves time to try the next one.
      concurrency: Maximum number of nodes called at once.
    """

    nodes: tuple[str, ...] = ("127.0.0.1:9203",)
    output: str = "table"
    timeout_s: float = 15.0
    connect_timeout_s: float = 2.0
    concurrency: int = 16
