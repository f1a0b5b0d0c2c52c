"""Settings of the operators' command."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CliSettings:
    """How the command reaches the mesh and prints.

    Attributes:
      nodes: "ip:port" of the nodes' operator listeners, tried in order.
      output: Name of the output format.
      timeout_s: Longest wait for an answer, in seconds.
      connect_timeout_s: Longest wait for a connection, so that one dead node
        leaves time for the next.
      concurrency: Nodes that are asked at once.
    """

    nodes: tuple[str, ...] = ("127.0.0.1:9203",)
    output: str = "table"
    timeout_s: float = 15.0
    connect_timeout_s: float = 2.0
    concurrency: int = 16
