"""Runs scenarios."""

import dataclasses

from vanillamast_core import VanillamastError

from vanillamast_testing.scenario_parser import ScenarioLine
from vanillamast_testing.scenario_target import ScenarioTarget
from vanillamast_testing.scenario_world import ScenarioWorld


@dataclasses.dataclass(frozen=True, slots=True)
class StepResult:
    """Result of a step.

    Attributes:
      line: The line of the step.
      started_at: Time of the target when it began.
      ended_at: Time of the target when it ended.
      failure: Why the expectation does not hold or the step could not be
        taken, "" without a failure.
    """

    line: ScenarioLine
    started_at: float
    ended_at: float
    failure: str = ""


@dataclasses.dataclass(slots=True)
class ScenarioReport:
    """Result of a scenario.

    Attributes:
      results: Results of the steps that were run.
      complete: Whether all steps were run.
    """

    results: list[StepResult] = dataclasses.field(default_factory=list)
    complete: bool = False

    @property
    def held(self) -> bool:
        """Whether all steps were run and all expectations held."""
        return self.complete and not self.failures()

    def failures(self) -> list[str]:
        """Returns one line for each failure."""
        return [
            f"line {r.line.number}: {r.line.text.strip()}: {r.failure}"
            for r in self.results
            if r.failure
        ]


async def run_scenario(
    lines: list[ScenarioLine], target: ScenarioTarget
) -> ScenarioReport:
    """Runs the steps in order.

    The scenario continues after a failed expectation, so that one run shows
    all failures; a step that cannot be taken ends it.

    Args:
      lines: The steps.
      target: The mesh to run them on.
    """
    world = ScenarioWorld(target)
    report = ScenarioReport()
    for line in lines:
        started_at = target.now()
        try:
            failure = await line.step.run(world)
        except VanillamastError as error:
            failure = str(error) or type(error).__name__
            result = StepResult(line, started_at, target.now(), failure)
            report.results.append(result)
            return report
        result = StepResult(line, started_at, target.now(), failure)
        report.results.append(result)
    report.complete = True
    return report
