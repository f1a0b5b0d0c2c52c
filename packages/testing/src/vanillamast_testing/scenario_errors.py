"""Failures of scenarios."""

from vanillamast_core import VanillamastError


class ScenarioError(VanillamastError):
    """A scenario cannot be run."""


class ScenarioSyntaxError(ScenarioError):
    """A line is not a step of the scenario language."""


class ScenarioUnsupportedError(ScenarioError):
    """The target cannot do or judge what a step asks for."""


class ScenarioInvariantError(ScenarioError):
    """An invariant of the mesh is violated."""


class ScenarioStepError(ScenarioError):
    """A step fails, for instance because it names an unknown instance."""
