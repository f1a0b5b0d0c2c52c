"""Interface of the meshes that scenarios run against."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from vanillamast_testing.badness import Badness
from vanillamast_testing.platform_log_faults import PlatformLogFaults
from vanillamast_testing.request_record import RequestRecord
from vanillamast_testing.scenario_values import (
    ScenarioInstance,
    ScenarioMove,
    ScenarioTraffic,
)


class ScenarioTarget(Protocol):
    """A mesh of real processes, or cores on a test clock.

    All times are in seconds of the target's own clock. A method that cannot
    do what a step asks for raises a VanillamastError.
    """

    def now(self) -> float:
        """Returns the time."""

    async def wait(self, seconds: float) -> None:
        """Lets time pass."""

    async def start(self, instances: Sequence[ScenarioInstance]) -> None:
        """Starts instances and waits until their nodes run."""

    async def publish(self, file: str, label: str) -> int:
        """Publishes a configuration file; returns the version's offset."""

    async def race(self, file: str, other: str) -> Sequence[int]:
        """Publishes two files at once, both based on the same version.

        Returns:
          The offsets of those that were accepted.
        """

    async def move(self, move: ScenarioMove) -> None:
        """Starts a move."""

    async def apply_move_action(self, action: str, move: str) -> None:
        """Takes the action "hold", "resume" or "stop" on a move."""

    async def kill(self, instances: Sequence[str]) -> None:
        """Kills nodes and backend servers, all at the same moment."""

    async def stop(self, instances: Sequence[str]) -> None:
        """Starts planned stops of nodes and backend servers."""

    async def restart(self, instances: Sequence[str]) -> None:
        """Starts instances again; running ones are killed before."""

    async def pause(self, instances: Sequence[str]) -> None:
        """Pauses instances, as when a machine stalls."""

    async def resume(self, instances: Sequence[str]) -> None:
        """Resumes paused instances."""

    async def drain(self, instance: str, drained: bool) -> None:
        """Begins or ends the drain of an instance."""

    async def set_cuts(self, cuts: frozenset[frozenset[str]]) -> None:
        """Cuts exactly these pairs of failure domains from each other.

        Args:
          cuts: Pairs of names; `PLATFORM` stands for the platform.
        """

    async def set_platform(self, faults: PlatformLogFaults) -> None:
        """Replaces the faults of the platform's log."""

    async def set_badness(
        self, instances: Sequence[str], badness: Badness
    ) -> None:
        """Replaces the badness of backend servers."""

    async def start_traffic(self, traffic: ScenarioTraffic) -> None:
        """Starts traffic in addition to the traffic that runs already."""

    async def finish_traffic(self) -> None:
        """Waits until all requests have been sent and have ended."""

    async def converged(self) -> bool:
        """Returns whether all nodes apply the current configuration version.

        Nodes that do not run, or are cut off from all nodes that have the
        version, do not count.
        """

    async def move_state(self, name: str) -> str:
        """Returns a move's state, "" if no node knows the move."""

    async def version_at(self, instance: str) -> int:
        """Returns the configuration version that a node applies, 0 for none."""

    async def records(self) -> Sequence[RequestRecord]:
        """Returns the records of all requests so far."""

    async def runs(self) -> Mapping[str, int]:
        """Returns how many times each request id ran, over all servers.

        Runs on servers that were killed later are included.
        """

    async def runs_at(self, instance: str) -> int:
        """Returns the number of runs at a backend server."""

    async def runs_by_version(self, service: str) -> Mapping[str, int]:
        """Returns the number of runs by backend server version."""
