"""State of a running scenario."""

import collections
from collections.abc import Iterable, Sequence

from vanillamast_testing.scenario_errors import ScenarioStepError
from vanillamast_testing.scenario_target import ScenarioTarget
from vanillamast_testing.scenario_values import Group, ScenarioInstance


class ScenarioWorld:
    """The target, and what earlier steps started, cut and published.

    Attributes:
      target: What the scenario runs against.
      instances: Started instances by name.
      cuts: Pairs of failure domains that are cut from each other.
      versions: Offsets of published configuration versions by label.
      runs_before: Runs by server version at the last move, by service.
    """

    def __init__(self, target: ScenarioTarget):
        self.target = target
        self.instances: dict[str, ScenarioInstance] = {}
        self.cuts: frozenset[frozenset[str]] = frozenset()
        self.versions: dict[str, int] = {}
        self.runs_before: dict[str, collections.Counter[str]] = {}

    def new_instances(
        self, count: int, service: str, version: str, domains: Sequence[str]
    ) -> list[ScenarioInstance]:
        """Names instances and spreads them over failure domains in turn.

        The first instance of each failure domain accepts callers.
        """
        result = []
        for index in range(count):
            number = len(self.instances_of_version(service, version)) + 1
            domain = domains[index % len(domains)]
            known = {i.failure_domain for i in self.instances.values()}
            instance = ScenarioInstance(
                name=f"{service}-v{version}-{number}",
                service=service,
                version=version,
                failure_domain=domain,
                edge=domain not in known,
            )
            self.instances[instance.name] = instance
            result.append(instance)
        return result

    def instances_of_version(self, service: str, version: str) -> list[str]:
        """Returns the names of a version's instances."""
        return [
            instance.name
            for instance in self.instances.values()
            if (instance.service, instance.version) == (service, version)
        ]

    def instances_of(self, group: Group) -> list[str]:
        """Returns the names of a group's instances.

        Raises:
          ScenarioStepError: There are none.
        """
        if group.kind == "instance":
            return [self.require_instance(group.name)]
        names = [
            instance.name
            for instance in self.instances.values()
            if instance.failure_domain == group.name
        ]
        if not names:
            raise ScenarioStepError(f"nothing was started in {group.name}")
        return names

    def require_instance(self, name: str) -> str:
        """Returns the name of an instance that was started.

        Raises:
          ScenarioStepError: It was not.
        """
        if name not in self.instances:
            known = ", ".join(self.instances) or "none"
            raise ScenarioStepError(f"no instance {name}; started: {known}")
        return name

    def pairs_between(
        self, one: Iterable[str], other: Iterable[str]
    ) -> frozenset[frozenset[str]]:
        """Returns all pairs between two sides.

        Raises:
          ScenarioStepError: A name is on both sides.
        """
        sides = set(one), set(other)
        if both := sides[0] & sides[1]:
            raise ScenarioStepError(f"{', '.join(both)} is on both sides")
        return frozenset(frozenset((a, b)) for a in sides[0] for b in sides[1])
