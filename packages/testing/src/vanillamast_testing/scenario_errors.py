"""Failures of scenarios."""

from vanillamast_core import VanillamastError


class ScenarioError(VanillamastError):
    """A scenario cannot be run."""


class ScenarioSyntaxError(ScenarioError):
    """A line is not a step of the scenario language."""


class ScenarioStepError(ScenarioError):
    """A step names something that is not there or was not started."""
