"""Steps that send traffic and judge the outcome."""

import collections
import dataclasses
from collections.abc import Awaitable, Callable

from vanillamast_core import Registry

from vanillamast_testing.outcome_audit import OutcomeAudit, audit_outcomes
from vanillamast_testing.request_record import RequestRecord
from vanillamast_testing.scenario_errors import ScenarioStepError
from vanillamast_testing.scenario_step import Step, steps
from vanillamast_testing.scenario_values import ScenarioTraffic
from vanillamast_testing.scenario_world import ScenarioWorld

POLL_S = 0.1
SHOWN_REQUESTS = 5

Finder = Callable[[OutcomeAudit, list[RequestRecord]], list[str]]
findings: Registry[Finder] = Registry("finding")


@findings.register("lost")
def lost(audit: OutcomeAudit, records: list[RequestRecord]) -> list[str]:
    """Returns requests without any answer."""
    return audit.lost


@findings.register("doubled")
def doubled(audit: OutcomeAudit, records: list[RequestRecord]) -> list[str]:
    """Returns posts that ran more than once."""
    return audit.doubled


@findings.register("cut off")
def cut_off(audit: OutcomeAudit, records: list[RequestRecord]) -> list[str]:
    """Returns requests whose answer ended early, with or without an error."""
    return [record.request_id for record in records if record.cut_off]


@findings.register("short")
def short(audit: OutcomeAudit, records: list[RequestRecord]) -> list[str]:
    """Returns requests whose answer looks whole and is not."""
    return audit.short


@findings.register("missing")
def missing(audit: OutcomeAudit, records: list[RequestRecord]) -> list[str]:
    """Returns posts that were answered with success and did not run."""
    return audit.missing


@findings.register("untrue")
def untrue(audit: OutcomeAudit, records: list[RequestRecord]) -> list[str]:
    """Returns requests that were refused as not run, but ran."""
    return audit.untrue


@steps.register("traffic")
@dataclasses.dataclass(frozen=True, slots=True)
class SendTraffic(Step):
    """Starts traffic that continues during the next steps."""

    rate: float
    duration_s: float
    post_share: float | None = None

    example = "traffic 50/s for 20s with 20% posts"

    async def run(self, world: ScenarioWorld) -> str:
        """Starts the traffic."""
        traffic = ScenarioTraffic(
            self.rate, self.duration_s, self.post_share or 0.0
        )
        await world.target.start_traffic(traffic)
        return ""


@steps.register("traffic_ends")
@dataclasses.dataclass(frozen=True, slots=True)
class TrafficEnds(Step):
    """Waits until the traffic has ended."""

    example = "wait for traffic"

    async def run(self, world: ScenarioWorld) -> str:
        """Waits."""
        await world.target.finish_traffic()
        return ""


async def eventually(
    world: ScenarioWorld,
    check: Callable[[], Awaitable[str]],
    within_s: float,
) -> str:
    """Repeats a check until it returns "" or the time is over.

    Returns:
      What the last check returned.
    """
    end = world.target.now() + within_s
    while True:
        failure = await check()
        remaining = end - world.target.now()
        if not failure or remaining <= 0:
            return failure
        await world.target.wait(min(POLL_S, remaining))


@steps.register("expect_converged")
@dataclasses.dataclass(frozen=True, slots=True)
class ExpectConverged(Step):
    """Expects that all nodes apply the current configuration version."""

    within_s: float

    example = "expect converged within 12s"

    async def run(self, world: ScenarioWorld) -> str:
        """Checks until it holds."""

        async def check() -> str:
            converged = await world.target.converged()
            return "" if converged else "not converged"

        return await eventually(world, check, self.within_s)


@steps.register("expect_move")
@dataclasses.dataclass(frozen=True, slots=True)
class ExpectMove(Step):
    """Expects a move in one of some states."""

    name: str
    states: tuple[str, ...]
    within_s: float

    example = "expect move good is done or settled within 30s"

    async def run(self, world: ScenarioWorld) -> str:
        """Checks until it holds."""

        async def check() -> str:
            state = await world.target.move_state(self.name)
            if state in self.states:
                return ""
            return f"move {self.name} is {state or 'unknown'}"

        return await eventually(world, check, self.within_s)


@steps.register("expect_version")
@dataclasses.dataclass(frozen=True, slots=True)
class ExpectVersion(Step):
    """Expects that an instance applies a published configuration version."""

    label: str
    instance: str
    within_s: float

    example = "expect version first at browse-v1-1 within 12s"

    async def run(self, world: ScenarioWorld) -> str:
        """Checks until it holds."""
        name = world.require_instance(self.instance)
        if self.label not in world.versions:
            raise ScenarioStepError(f"no version {self.label} was published")
        wanted = world.versions[self.label]

        async def check() -> str:
            version = await world.target.version_at(name)
            if version == wanted:
                return ""
            return f"version {version} instead of {wanted} at {name}"

        return await eventually(world, check, self.within_s)


@steps.register("expect_requests")
@dataclasses.dataclass(frozen=True, slots=True)
class ExpectRequests(Step):
    """Expects that no request has a finding."""

    finding: str

    example = "expect no request cut off"

    async def run(self, world: ScenarioWorld) -> str:
        """Waits for the traffic's end and looks at all requests."""
        await world.target.finish_traffic()
        records = list(await world.target.records())
        if not records:
            raise ScenarioStepError("no traffic was sent")
        audit = audit_outcomes(records, await world.target.runs())
        found = findings.get(self.finding)(audit, records)
        if not found:
            return ""
        names = ", ".join(found[:SHOWN_REQUESTS])
        return f"{len(found)} of {len(records)} {self.finding}: {names}"


@steps.register("expect_quiet")
@dataclasses.dataclass(frozen=True, slots=True)
class ExpectQuiet(Step):
    """Expects that no request begins to run at an instance for a while."""

    instance: str
    seconds: float

    example = "expect no run at browse-v1-1 for 5s"

    async def run(self, world: ScenarioWorld) -> str:
        """Compares the runs before and after the time."""
        name = world.require_instance(self.instance)
        before = await world.target.runs_at(name)
        await world.target.wait(self.seconds)
        count = await world.target.runs_at(name) - before
        return f"{count} requests ran at {name}" if count else ""


@steps.register("expect_share")
@dataclasses.dataclass(frozen=True, slots=True)
class ExpectShare(Step):
    """Expects that a server version got at most a share of the runs."""

    service: str
    version: str
    share: float

    example = "expect share of browse version 2 at most 5%"

    async def run(self, world: ScenarioWorld) -> str:
        """Counts from the service's last move, or from the beginning."""
        runs = await world.target.runs_by_version(self.service)
        before = world.runs_before.get(self.service, collections.Counter())
        counted = collections.Counter(runs)
        counted.subtract(before)
        if not counted.total():
            raise ScenarioStepError(f"no request ran on {self.service}")
        share = counted[self.version] / counted.total()
        if share <= self.share:
            return ""
        return f"share {share:.4f} of {counted.total()} runs"
