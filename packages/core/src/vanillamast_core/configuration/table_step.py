"""Steps by which a node applies a configuration version."""

import dataclasses
from collections.abc import Mapping

from vanillamast_core.configuration.route import Route
from vanillamast_core.configuration.service import Service


@dataclasses.dataclass(slots=True, frozen=True)
class AddServices:
    """Services whose backend servers the node keeps from now on.

    Attributes:
      version: Configuration version that needs them.
      services: The services by name.
    """

    version: int
    services: Mapping[str, Service]


@dataclasses.dataclass(slots=True, frozen=True)
class SwitchRoutes:
    """All routes of a version atomically replace the previous ones.

    Attributes:
      version: Configuration version that is active from now on.
      routes: All routes of the node by name.
      unready: Services without a usable backend server when the wait ended.
    """

    version: int
    routes: Mapping[str, Route]
    unready: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class RemoveServices:
    """Services that no route references any more."""

    services: tuple[str, ...]


TableStep = AddServices | SwitchRoutes | RemoveServices
