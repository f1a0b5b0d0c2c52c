"""The configuration that operators publish, and how a node applies it."""

# The modules of rules are imported because they register the rules.
from vanillamast_core.configuration import (
    move_rules,  # noqa: F401
    name_rules,  # noqa: F401
    range_rules,  # noqa: F401
    route_rules,  # noqa: F401
    service_rules,  # noqa: F401
)
from vanillamast_core.configuration.caller_class import (
    DEFAULT_CLASS,
    CallerClass,
)
from vanillamast_core.configuration.change import (
    Change,
    Remove,
    SetClass,
    SetMove,
    SetRoute,
    SetService,
)
from vanillamast_core.configuration.configuration import Configuration
from vanillamast_core.configuration.configuration_error import (
    ConfigurationError,
)
from vanillamast_core.configuration.diff import (
    apply_changes,
    change_target,
    diff,
)
from vanillamast_core.configuration.load import (
    dump_configuration,
    load_configuration,
)
from vanillamast_core.configuration.move_spec import DEFAULT_STEPS, MoveSpec
from vanillamast_core.configuration.route import (
    EDGE,
    IDEMPOTENT_METHODS,
    Route,
)
from vanillamast_core.configuration.route_match import (
    MethodNotAllowed,
    NoRoute,
    RouteFound,
    RouteMatch,
)
from vanillamast_core.configuration.routing_table import RoutingTable
from vanillamast_core.configuration.service import Service
from vanillamast_core.configuration.table_step import (
    AddServices,
    RemoveServices,
    SwitchRoutes,
    TableStep,
)
from vanillamast_core.configuration.validation import (
    validate,
    validation_rules,
)
from vanillamast_core.configuration.validation_problem import (
    ProblemKind,
    ValidationProblem,
)

__all__ = [
    "DEFAULT_CLASS",
    "DEFAULT_STEPS",
    "EDGE",
    "IDEMPOTENT_METHODS",
    "AddServices",
    "CallerClass",
    "Change",
    "Configuration",
    "ConfigurationError",
    "MethodNotAllowed",
    "MoveSpec",
    "NoRoute",
    "ProblemKind",
    "Remove",
    "RemoveServices",
    "Route",
    "RouteFound",
    "RouteMatch",
    "RoutingTable",
    "Service",
    "SetClass",
    "SetMove",
    "SetRoute",
    "SetService",
    "SwitchRoutes",
    "TableStep",
    "ValidationProblem",
    "apply_changes",
    "change_target",
    "diff",
    "dump_configuration",
    "load_configuration",
    "validate",
    "validation_rules",
]
