"""One version of the configuration, as a node applies it."""

import dataclasses

from vanillamast_sidecar.caller_limits import CallerLimits
from vanillamast_sidecar.route import Route


@dataclasses.dataclass(slots=True, frozen=True)
class Snapshot:
    """A whole version of the configuration.

    Attributes:
      version: Version; higher ones replace lower ones.
      routes: Routes.
      connection_limits: Connections that a server accepts, by service.
      limits: Bounds on what callers may send.
      raw: The published bytes, handed to nodes that cannot reach the store.
    """

    version: int
    routes: tuple[Route, ...]
    connection_limits: dict[str, int]
    limits: CallerLimits
    raw: bytes
