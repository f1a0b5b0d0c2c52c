"""Steps that operators and machines take."""

import collections
import dataclasses

from vanillamast_testing.scenario_step import Step, steps
from vanillamast_testing.scenario_values import Group, ScenarioMove
from vanillamast_testing.scenario_world import ScenarioWorld


@steps.register("start_instances")
@dataclasses.dataclass(frozen=True, slots=True)
class StartInstances(Step):
    """Starts instances, spread over failure domains in turn."""

    count: int
    service: str
    version: str
    domains: tuple[str, ...]

    example = "start 4 of browse version 1 in a, b, c"

    async def run(self, world: ScenarioWorld) -> str:
        """Starts the instances."""
        instances = world.new_instances(
            self.count, self.service, self.version, self.domains
        )
        await world.target.start(instances)
        return ""


@steps.register("publish")
@dataclasses.dataclass(frozen=True, slots=True)
class PublishFile(Step):
    """Publishes a configuration file."""

    file: str
    label: str | None = None

    example = "publish tintero.yaml as first"

    async def run(self, world: ScenarioWorld) -> str:
        """Publishes and keeps the version's offset under its label."""
        label = self.label or ""
        world.versions[label] = await world.target.publish(self.file, label)
        return ""


@steps.register("race")
@dataclasses.dataclass(frozen=True, slots=True)
class RacePublishes(Step):
    """Publishes two files on the same version at the same moment."""

    file: str
    other: str
    label: str | None = None

    example = "race one.yaml against other.yaml as winner"

    async def run(self, world: ScenarioWorld) -> str:
        """Expects that exactly one of the two is accepted."""
        label = self.label or ""
        accepted = await world.target.race(self.file, self.other)
        if len(accepted) != 1:
            return f"{len(accepted)} of 2 racing versions were accepted"
        world.versions[label] = accepted[0]
        return ""


@steps.register("move")
@dataclasses.dataclass(frozen=True, slots=True)
class StartMove(Step):
    """Starts a move."""

    service: str
    old: str
    new: str
    deadline_s: float
    name: str

    example = "move browse from 1 to 2 in 30s named good"

    async def run(self, world: ScenarioWorld) -> str:
        """Starts the move; shares are counted from here."""
        runs = await world.target.runs_by_version(self.service)
        world.runs_before[self.service] = collections.Counter(runs)
        move = ScenarioMove(
            self.name, self.service, self.old, self.new, self.deadline_s
        )
        await world.target.move(move)
        return ""


class MoveAction(Step):
    """Base of the operators' actions on a move."""

    action: str
    name: str

    async def run(self, world: ScenarioWorld) -> str:
        """Takes the action."""
        await world.target.apply_move_action(self.action, self.name)
        return ""


@steps.register("hold_move")
@dataclasses.dataclass(frozen=True)
class HoldMove(MoveAction):
    """Keeps a move at its share."""

    name: str

    action = "hold"
    example = "hold move good"


@steps.register("resume_move")
@dataclasses.dataclass(frozen=True)
class ResumeMove(MoveAction):
    """Resumes a held move."""

    name: str

    action = "resume"
    example = "resume move good"


@steps.register("stop_move")
@dataclasses.dataclass(frozen=True)
class StopMove(MoveAction):
    """Stops a move; all traffic returns to the old version."""

    name: str

    action = "stop"
    example = "stop move good"


@steps.register("kill")
@dataclasses.dataclass(frozen=True, slots=True)
class Kill(Step):
    """Kills instances, all at the same moment."""

    group: Group

    example = "kill domain a"

    async def run(self, world: ScenarioWorld) -> str:
        """Kills the group."""
        await world.target.kill(world.instances_of(self.group))
        return ""


@steps.register("stop_instances")
@dataclasses.dataclass(frozen=True, slots=True)
class StopInstances(Step):
    """Stops instances as planned; requests in flight end."""

    group: Group

    example = "stop instance browse-v1-2"

    async def run(self, world: ScenarioWorld) -> str:
        """Stops the group."""
        await world.target.stop(world.instances_of(self.group))
        return ""


@steps.register("restart")
@dataclasses.dataclass(frozen=True, slots=True)
class Restart(Step):
    """Starts instances again, all at the same moment."""

    group: Group

    example = "restart instance browse-v1-2"

    async def run(self, world: ScenarioWorld) -> str:
        """Restarts the group."""
        await world.target.restart(world.instances_of(self.group))
        return ""


@steps.register("pause")
@dataclasses.dataclass(frozen=True, slots=True)
class Pause(Step):
    """Pauses instances."""

    group: Group

    example = "pause instance browse-v1-2"

    async def run(self, world: ScenarioWorld) -> str:
        """Pauses the group."""
        await world.target.pause(world.instances_of(self.group))
        return ""


@steps.register("resume")
@dataclasses.dataclass(frozen=True, slots=True)
class Resume(Step):
    """Resumes paused instances."""

    group: Group

    example = "resume domain a"

    async def run(self, world: ScenarioWorld) -> str:
        """Resumes the group."""
        await world.target.resume(world.instances_of(self.group))
        return ""


@steps.register("drain")
@dataclasses.dataclass(frozen=True, slots=True)
class Drain(Step):
    """Drains an instance."""

    instance: str

    example = "drain browse-v1-1"

    async def run(self, world: ScenarioWorld) -> str:
        """Begins the drain."""
        name = world.require_instance(self.instance)
        await world.target.drain(name, True)
        return ""


@steps.register("undrain")
@dataclasses.dataclass(frozen=True, slots=True)
class Undrain(Step):
    """Ends the drain of an instance."""

    instance: str

    example = "undrain browse-v1-1"

    async def run(self, world: ScenarioWorld) -> str:
        """Ends the drain."""
        name = world.require_instance(self.instance)
        await world.target.drain(name, False)
        return ""


@steps.register("wait")
@dataclasses.dataclass(frozen=True, slots=True)
class Wait(Step):
    """Lets time pass."""

    seconds: float

    example = "wait 5s"

    async def run(self, world: ScenarioWorld) -> str:
        """Waits."""
        await world.target.wait(self.seconds)
        return ""
