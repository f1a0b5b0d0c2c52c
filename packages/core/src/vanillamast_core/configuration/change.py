"""One change of a configuration."""

from typing import Literal

import msgspec

from vanillamast_core.configuration.caller_class import CallerClass
from vanillamast_core.configuration.move_spec import MoveSpec
from vanillamast_core.configuration.route import Route
from vanillamast_core.configuration.service import Service


class SetService(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    forbid_unknown_fields=True,
    tag=1,
):
    """Adds or replaces a service."""

    name: str
    value: Service


class SetRoute(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    forbid_unknown_fields=True,
    tag=2,
):
    """Adds or replaces a route."""

    name: str
    value: Route


class SetClass(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    forbid_unknown_fields=True,
    tag=3,
):
    """Adds or replaces a caller class."""

    name: str
    value: CallerClass


class SetMove(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    forbid_unknown_fields=True,
    tag=4,
):
    """Adds a move, which starts it."""

    name: str
    value: MoveSpec


class Remove(
    msgspec.Struct,
    array_like=True,
    frozen=True,
    forbid_unknown_fields=True,
    tag=5,
):
    """Removes an object of the configuration.

    Attributes:
      kind: The dictionary of the configuration that holds the object.
      name: Name of the object.
    """

    kind: Literal["services", "routes", "classes", "moves"]
    name: str


Change = SetService | SetRoute | SetClass | SetMove | Remove
