"""Steps that cause faults of the network, the platform or a version."""

import dataclasses
from typing import Any

import msgspec

from vanillamast_testing.badness import Badness, badness_kinds
from vanillamast_testing.platform_log_faults import PlatformLogFaults
from vanillamast_testing.scenario_errors import ScenarioStepError
from vanillamast_testing.scenario_step import Step, steps
from vanillamast_testing.scenario_world import ScenarioWorld


@steps.register("cut")
@dataclasses.dataclass(frozen=True, slots=True)
class Cut(Step):
    """Cuts failure domains from others or from the platform."""

    one: tuple[str, ...]
    other: tuple[str, ...]

    example = "cut a, b from c, platform"

    async def run(self, world: ScenarioWorld) -> str:
        """Adds the pairs to the cuts."""
        world.cuts |= world.pairs_between(self.one, self.other)
        await world.target.set_cuts(world.cuts)
        return ""


@steps.register("heal")
@dataclasses.dataclass(frozen=True, slots=True)
class Heal(Step):
    """Ends cuts."""

    one: tuple[str, ...]
    other: tuple[str, ...]

    example = "heal a from platform"

    async def run(self, world: ScenarioWorld) -> str:
        """Removes the pairs from the cuts; fails if one is not cut."""
        pairs = world.pairs_between(self.one, self.other)
        if whole := pairs - world.cuts:
            names = ", ".join(" from ".join(sorted(p)) for p in whole)
            raise ScenarioStepError(f"not cut: {names}")
        world.cuts -= pairs
        await world.target.set_cuts(world.cuts)
        return ""


@steps.register("heal_all")
@dataclasses.dataclass(frozen=True, slots=True)
class HealAll(Step):
    """Ends all cuts."""

    example = "heal all"

    async def run(self, world: ScenarioWorld) -> str:
        """Ends the cuts."""
        world.cuts = frozenset()
        await world.target.set_cuts(world.cuts)
        return ""


class PlatformStep(Step):
    """Base of the steps that set the faults of the platform's log."""

    def faults(self) -> PlatformLogFaults:
        """Returns the faults; they replace the earlier ones."""
        raise NotImplementedError

    async def run(self, world: ScenarioWorld) -> str:
        """Sets the faults."""
        await world.target.set_platform(self.faults())
        return ""


@steps.register("platform_outage")
@dataclasses.dataclass(frozen=True)
class PlatformOutage(PlatformStep):
    """The log answers no call."""

    example = "platform outage"

    def faults(self) -> PlatformLogFaults:
        """Returns the outage."""
        return PlatformLogFaults(outage=True)


@steps.register("platform_slow")
@dataclasses.dataclass(frozen=True)
class PlatformSlow(PlatformStep):
    """The log answers each call late."""

    delay_s: float

    example = "platform slow by 2s"

    def faults(self) -> PlatformLogFaults:
        """Returns the delay."""
        return PlatformLogFaults(delay_s=self.delay_s)


@steps.register("platform_loses_next")
@dataclasses.dataclass(frozen=True)
class PlatformLosesNext(PlatformStep):
    """The answers to the next appends are lost after they took effect."""

    count: int

    example = "platform loses next 3 answers"

    def faults(self) -> PlatformLogFaults:
        """Returns the loss."""
        return PlatformLogFaults(lose_next=self.count)


@steps.register("platform_loses_share")
@dataclasses.dataclass(frozen=True)
class PlatformLosesShare(PlatformStep):
    """A share of the answers to appends is lost."""

    share: float

    example = "platform loses 50% of answers"

    def faults(self) -> PlatformLogFaults:
        """Returns the loss."""
        return PlatformLogFaults(lose_share=self.share)


@steps.register("platform_recovers")
@dataclasses.dataclass(frozen=True)
class PlatformRecovers(PlatformStep):
    """The log works again."""

    example = "platform recovers"

    def faults(self) -> PlatformLogFaults:
        """Returns no fault."""
        return PlatformLogFaults()


@steps.register("badness")
class SetBadness(Step):
    """Sets the badness of all backend servers of a version.

    Attributes:
      service: The service.
      version: The version.
      badness: Their badness.
    """

    example = (
        "badness of browse version 2 is fails share 50% delay 300ms "
        "after 5s under load on /chapters"
    )

    def __init__(
        self,
        service: str,
        version: str,
        kind: str,
        *conditions: tuple[str, Any],
    ):
        self.service = service
        self.version = version
        badness_kinds.get(kind)
        badness = Badness(kind)
        self.badness = msgspec.structs.replace(badness, **dict(conditions))

    async def run(self, world: ScenarioWorld) -> str:
        """Sets the badness of the version's instances."""
        names = world.instances_of_version(self.service, self.version)
        if not names:
            raise ScenarioStepError(
                f"no instance of {self.service} version {self.version} was "
                "started"
            )
        await world.target.set_badness(names, self.badness)
        return ""


@steps.register("badness_instance")
class SetInstanceBadness(Step):
    """Sets the badness of one backend server.

    Attributes:
      instance: Its instance.
      badness: Its badness.
    """

    example = "badness of instance browse-v2-1 is fails share 50%"

    def __init__(self, instance: str, kind: str, *conditions: tuple[str, Any]):
        self.instance = instance
        badness_kinds.get(kind)
        badness = Badness(kind)
        self.badness = msgspec.structs.replace(badness, **dict(conditions))

    async def run(self, world: ScenarioWorld) -> str:
        """Sets the badness of the instance."""
        name = world.require_instance(self.instance)
        await world.target.set_badness([name], self.badness)
        return ""
