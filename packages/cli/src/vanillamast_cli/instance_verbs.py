"""Commands on instances and on the outcome of records."""

import dataclasses

import msgspec
from vanillamast_core.journal import DrainInstance

from vanillamast_cli.context import Context
from vanillamast_cli.errors import OutcomeUnknownError
from vanillamast_cli.node_answers import InstancesAnswer
from vanillamast_cli.node_client import NodeClient
from vanillamast_cli.publishing import make_record_id
from vanillamast_cli.record_sender import RecordSender, query_outcome
from vanillamast_cli.report import Report, Table
from vanillamast_cli.verb import Verb, verbs

INSTANCE_COLUMNS = (
    "instance",
    "region",
    "failure domain",
    "service",
    "version",
    "state",
    "liveness",
    "backend server",
    "operators",
)


@verbs.register("show_instances")
@dataclasses.dataclass(frozen=True, slots=True)
class ShowInstances(Verb):
    """Shows the instances that the node knows."""

    service: str | None = None

    usage = "show instances [of SERVICE]"
    summary = "shows the instances that the node knows, with liveness"
    example = "vanillamast 'show instances of browse'"

    async def run(self, context: Context) -> Report:
        """Shows the instances."""
        await context.update_seen_offset()
        answer = await context.client.get(
            "/v1/instances", InstancesAnswer, service=self.service
        )
        rows = [msgspec.structs.astuple(item) for item in answer.instances]
        data = msgspec.to_builtins(answer.instances)
        return Report(data, [Table(INSTANCE_COLUMNS, rows)])


async def set_drained(context: Context, instance: str, drained: bool) -> Report:
    """Begins or ends the drain of an instance's backend server."""
    record = DrainInstance(
        id=make_record_id(),
        based_on=await context.get_base_offset(),
        instance=instance,
        drained=drained,
    )
    outcome = await RecordSender(context.client, record).send()
    context.session.seen_offset = outcome.offset
    text = f"{instance} {'drains' if drained else 'no longer drains'}"
    return Report(
        {"instance": instance, "drained": drained, "offset": outcome.offset},
        [f"{text} from offset {outcome.offset}"],
    )


@verbs.register("drain")
@dataclasses.dataclass(frozen=True, slots=True)
class Drain(Verb):
    """Drains the backend server of an instance."""

    instance: str

    usage = "drain INSTANCE"
    summary = "sends no new work to the backend server of an instance"
    example = "vanillamast 'drain uy-sur-a-3'"

    async def run(self, context: Context) -> Report:
        """Begins the drain."""
        return await set_drained(context, self.instance, drained=True)


@verbs.register("undrain")
@dataclasses.dataclass(frozen=True, slots=True)
class Undrain(Verb):
    """Ends the drain of an instance's backend server."""

    instance: str

    usage = "undrain INSTANCE"
    summary = "ends the drain of an instance"
    example = "vanillamast 'undrain uy-sur-a-3'"

    async def run(self, context: Context) -> Report:
        """Ends the drain."""
        return await set_drained(context, self.instance, drained=False)


@verbs.register("show_outcome")
@dataclasses.dataclass(frozen=True, slots=True)
class ShowOutcome(Verb):
    """Shows the outcome of a record."""

    record_id: str

    usage = "show outcome ID"
    summary = "shows what became of a record that was sent earlier"
    example = "vanillamast 'show outcome 0f8fad5b-d9cb-469f-a165-70867728950e'"

    async def run(self, context: Context) -> Report:
        """Shows the outcome."""
        client: NodeClient = context.client
        await context.update_seen_offset()
        for index in client.order_nodes():
            address = client.settings.nodes[index]
            outcome = await query_outcome(client, address, self.record_id)
            if outcome is not None:
                data = {
                    name: getattr(outcome, name)
                    for name in outcome.__struct_fields__
                }
                rows = list(data.items())
                return Report(data, [Table(("name", "value"), rows)])
        raise OutcomeUnknownError(self.record_id)
