"""Commands that show a node and the versions that instances have applied."""

import asyncio
import collections
import dataclasses
from typing import Any

import msgspec
from vanillamast_core.configuration import dump_configuration

from vanillamast_cli.context import Context
from vanillamast_cli.errors import CliError
from vanillamast_cli.node_answers import (
    ConfigurationAnswer,
    InstanceAnswer,
    InstancesAnswer,
    NodeStatus,
)
from vanillamast_cli.report import Report, Table
from vanillamast_cli.verb import Verb, verbs


def make_name_value_table(data: dict[str, Any]) -> Table:
    """Returns a table with one row for each name."""
    return Table(("name", "value"), list(data.items()))


@verbs.register("show_status")
@dataclasses.dataclass(frozen=True, slots=True)
class ShowStatus(Verb):
    """Shows the node that answers."""

    usage = "show status"
    summary = "shows the node that answers: its offset, version and state"
    example = "vanillamast 'show status'"

    async def run(self, context: Context) -> Report:
        """Shows the status."""
        data = await context.client.get("/v1/status", dict[str, Any])
        context.session.seen_offset = int(data.get("offset", 0))
        return Report(data, [make_name_value_table(data)])


@verbs.register("show_configuration")
@dataclasses.dataclass(frozen=True, slots=True)
class ShowConfiguration(Verb):
    """Shows the configuration in the form in which it is published."""

    usage = "show configuration"
    summary = "prints the configuration as a file that can be published"
    example = "vanillamast 'show configuration' > mesh.yaml"

    async def run(self, context: Context) -> Report:
        """Shows the configuration."""
        answer = await context.client.get(
            "/v1/configuration", ConfigurationAnswer
        )
        context.session.seen_offset = answer.offset
        data = msgspec.to_builtins(answer)
        header = f"# version {answer.version} {answer.label}".rstrip()
        text = dump_configuration(answer.configuration)
        return Report(data, [header, text.rstrip()])


@verbs.register("show_metrics")
@dataclasses.dataclass(frozen=True, slots=True)
class ShowMetrics(Verb):
    """Shows the node's metrics."""

    usage = "show metrics"
    summary = "shows added latency, counters and control bytes of the node"
    example = "vanillamast --output=json 'show metrics'"

    async def run(self, context: Context) -> Report:
        """Shows the metrics."""
        data = await context.client.get("/v1/metrics", dict[str, Any])
        return Report(data, [make_name_value_table(dict(flatten("", data)))])


def flatten(prefix: str, value: Any) -> list[tuple[str, Any]]:
    """Returns nested values as pairs of a dotted name and a value."""
    if not isinstance(value, dict):
        return [(prefix, value)]
    rows = []
    for name, inner in value.items():
        rows.extend(flatten(f"{prefix}.{name}" if prefix else name, inner))
    return rows


@dataclasses.dataclass(slots=True)
class InstanceResult:
    """Status of one instance, or why it did not answer."""

    instance: InstanceAnswer
    status: NodeStatus | None = None
    failure: str = ""

    def to_dict(self) -> dict[str, Any]:
        """Returns the result as plain data."""
        return {
            "instance": self.instance.instance,
            "failure_domain": self.instance.failure_domain,
            "answered": self.status is not None,
            "failure": self.failure,
            "status": msgspec.to_builtins(self.status),
        }

    def make_row(self) -> tuple[Any, ...]:
        """Returns the table row of the instance."""
        known = (self.instance.instance, self.instance.failure_domain)
        if self.status is None:
            return (*known, None, None, None, f"no answer: {self.failure}")
        status = self.status
        version = status.applied_version
        return (*known, version, status.version, status.offset, status.state)


@verbs.register("show_versions")
@dataclasses.dataclass(frozen=True, slots=True)
class ShowVersions(Verb):
    """Asks every known instance which configuration version it has applied."""

    usage = "show versions"
    summary = "asks every instance what is in force there"
    example = "vanillamast 'show versions'"

    async def run(self, context: Context) -> Report:
        """Shows all answers, counts and the instances without an answer."""
        answer = await context.client.get("/v1/instances", InstancesAnswer)
        semaphore = asyncio.Semaphore(context.settings.concurrency)
        results = await asyncio.gather(
            *(
                query_instance(context, semaphore, item)
                for item in answer.instances
            )
        )
        results.sort(key=lambda result: result.instance.instance)
        columns = (
            "instance",
            "failure domain",
            "in force",
            "known",
            "offset",
            "state",
        )
        rows = [result.make_row() for result in results]
        data = [result.to_dict() for result in results]
        return Report(
            data, [Table(columns, rows), *summarize_versions(results)]
        )


async def query_instance(
    context: Context, semaphore: asyncio.Semaphore, instance: InstanceAnswer
) -> InstanceResult:
    """Asks one instance; an error becomes part of the result."""
    if not instance.operator_address:
        return InstanceResult(instance, failure="no operator address announced")
    async with semaphore:
        try:
            status = await context.client.get_from(
                instance.operator_address, "/v1/status", NodeStatus
            )
        except CliError as error:
            return InstanceResult(instance, failure=str(error))
    if status.instance != instance.instance:
        failure = f"{instance.operator_address} is {status.instance} now"
        return InstanceResult(instance, failure=failure)
    return InstanceResult(instance, status)


def summarize_versions(results: list[InstanceResult]) -> list[str]:
    """Returns how many instances have applied each configuration version."""
    answered = [r.status for r in results if r.status is not None]
    counts = collections.Counter(s.applied_version for s in answered)
    applied = ", ".join(
        f"version {version} on {count}"
        for version, count in sorted(counts.items(), reverse=True)
    )
    lines = [f"{len(answered)} of {len(results)} answered: {applied or '-'}"]
    unanswered = [r.instance.instance for r in results if r.status is None]
    if unanswered:
        lines.append(f"no answer from: {', '.join(unanswered)}")
    return lines
