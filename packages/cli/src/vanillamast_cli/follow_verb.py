"""Command that follows the events of a node."""

import asyncio
import dataclasses
from typing import Any

from vanillamast_cli.context import Context
from vanillamast_cli.errors import NodeUnreachableError
from vanillamast_cli.node_answers import EventsAnswer
from vanillamast_cli.rendering import format_cell
from vanillamast_cli.report import Report
from vanillamast_cli.times import format_time
from vanillamast_cli.verb import Verb, verbs

MAX_POLL_WAIT_S = 10.0
RETRY_DELAY_S = 1.0


def format_event(event: dict[str, Any]) -> str:
    """Formats an event as one line: time, kind and other fields."""
    hidden = {"kind", "time", "sequence"}
    rest = [
        f"{name}={format_cell(value)}"
        for name, value in event.items()
        if name not in hidden
    ]
    time = format_time(event["time"]) if "time" in event else "-"
    return " ".join([time, str(event.get("kind", "event")), *rest])


@verbs.register("follow")
@dataclasses.dataclass(frozen=True, slots=True)
class Follow(Verb):
    """Prints events as they happen."""

    seconds: float | None = None

    usage = "follow [for DURATION]"
    summary = "prints the node's recent events and those that follow"
    example = "vanillamast 'follow for 10m'"
    endless = True

    async def run(self, context: Context) -> Report:
        """Follows one node until the time is over.

        Each node numbers its own events, so when the node is lost the next one
        is followed from its oldest event.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + self.seconds if self.seconds is not None else None
        after, count, followed = 0, 0, None
        address = await self.find_node(context)
        while end is None or loop.time() < end:
            left_s = MAX_POLL_WAIT_S if end is None else end - loop.time()
            try:
                if address != followed:
                    after, followed = 0, address
                answer = await context.client.get_from(
                    address,
                    "/v1/events",
                    EventsAnswer,
                    after=after,
                    wait_ms=int(max(0.0, min(MAX_POLL_WAIT_S, left_s)) * 1000),
                )
            except NodeUnreachableError as error:
                self.report_lost_node(context, str(error))
                await asyncio.sleep(RETRY_DELAY_S)
                address, followed = await self.find_node(context), None
                continue
            for event in answer.events:
                context.print_report(Report(event, [format_event(event)]))
            after = answer.last_sequence(after)
            count += len(answer.events)
        return Report({"events": count}, [f"{count} events"])

    async def find_node(self, context: Context) -> str:
        """Returns the address of a node that answers."""
        await context.update_seen_offset()
        return context.settings.nodes[context.session.preferred_index]

    def report_lost_node(self, context: Context, text: str) -> None:
        """Prints that the followed node did not answer."""
        context.print_report(
            Report({"kind": "node_lost", "detail": text}, [text])
        )
