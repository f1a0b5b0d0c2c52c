"""The configuration that operators publish, and how a node applies it."""

from vanillamast_core.configuration.caller_class import CallerClass
from vanillamast_core.configuration.change import (
    Change,
    Remove,
    SetClass,
    SetMove,
    SetRoute,
    SetService,
)
from vanillamast_core.configuration.configuration import Configuration
from vanillamast_core.configuration.move_spec import DEFAULT_STEPS, MoveSpec
from vanillamast_core.configuration.route import (
    EDGE,
    IDEMPOTENT_METHODS,
    Route,
)
from vanillamast_core.configuration.service import Service

__all__ = [
    "DEFAULT_STEPS",
    "EDGE",
    "IDEMPOTENT_METHODS",
    "CallerClass",
    "Change",
    "Configuration",
    "MoveSpec",
    "Remove",
    "Route",
    "Service",
    "SetClass",
    "SetMove",
    "SetRoute",
    "SetService",
]
