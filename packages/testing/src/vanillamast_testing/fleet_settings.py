"""Settings of a fleet of processes on loopback."""

import dataclasses
import pathlib
from typing import Any


@dataclasses.dataclass(slots=True, frozen=True)
class FleetSettings:
    """How a fleet is run.

    Attributes:
      directory: Folder for settings files, logs and the log's data.
      network: First three numbers of the loopback addresses, such as
        "127.31.7"; two fleets at the same time need different ones.
      failure_domains: The log listens on an address of its own for each of
        these, so that one can be cut from the platform.
      node_settings: Settings of all nodes beyond the addresses.
      backend_flags: Flags of all backend servers.
      stop_timeout_s: Time for a planned stop of one process.
    """

    directory: pathlib.Path
    network: str
    failure_domains: tuple[str, ...] = ()
    node_settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    backend_flags: tuple[str, ...] = ()
    stop_timeout_s: float = 20.0
