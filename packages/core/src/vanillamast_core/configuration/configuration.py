"""The configuration of the mesh."""

import msgspec

from vanillamast_core.configuration.caller_class import CallerClass
from vanillamast_core.configuration.move_spec import MoveSpec
from vanillamast_core.configuration.route import Route
from vanillamast_core.configuration.service import Service


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything that operators publish, by name.

    Attributes:
      services: Services by name.
      routes: Routes by name.
      classes: Caller classes by name; "interactive" exists by default.
      moves: Move specs by name. A move starts when a published version
        contains its name for the first time; its progress is stored
        separately.
    """

    services: dict[str, Service] = {}
    routes: dict[str, Route] = {}
    classes: dict[str, CallerClass] = {}
    moves: dict[str, MoveSpec] = {}
