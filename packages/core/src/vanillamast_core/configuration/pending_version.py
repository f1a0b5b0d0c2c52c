"""A configuration version that a node is about to apply."""

import dataclasses

from vanillamast_core.configuration.caller_class import CallerClass
from vanillamast_core.configuration.route import Route
from vanillamast_core.configuration.service import Service


@dataclasses.dataclass(slots=True, frozen=True)
class PendingVersion:
    """A version whose services are added and whose routes are not active yet.

    Attributes:
      version: Configuration version.
      routes: This node's routes of the version.
      services: The services that these routes name.
      classes: The caller classes of the version.
    """

    version: int
    routes: dict[str, Route]
    services: dict[str, Service]
    classes: dict[str, CallerClass]
