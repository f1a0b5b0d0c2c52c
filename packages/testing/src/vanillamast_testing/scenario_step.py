"""Steps of the scenario language."""

import abc
from typing import ClassVar

from vanillamast_core import Registry

from vanillamast_testing.scenario_world import ScenarioWorld


class Step(abc.ABC):
    """A step with its arguments.

    The fields of a subclass are the arguments, in the order in which the
    grammar's rule of the same name holds them.

    Attributes:
      example: A line with this step.
    """

    example: ClassVar[str]

    @abc.abstractmethod
    async def run(self, world: ScenarioWorld) -> str:
        """Runs the step.

        Returns:
          "" if it succeeded; why not, for an expectation that failed.

        Raises:
          VanillamastError: The step cannot be taken.
        """


steps: Registry[type[Step]] = Registry("step")
