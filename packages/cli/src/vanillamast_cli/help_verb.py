"""Command that describes the others."""

import dataclasses

from vanillamast_cli.context import Context
from vanillamast_cli.errors import UsageError
from vanillamast_cli.report import Report, Table
from vanillamast_cli.verb import Verb, verbs


@verbs.register("help")
@dataclasses.dataclass(frozen=True, slots=True)
class Help(Verb):
    """Lists the commands, or describes those with a word in their name."""

    topic: str | None = None

    usage = "help [VERB]"
    summary = "lists the commands, or explains one"
    example = "vanillamast 'help move'"

    async def run(self, context: Context) -> Report:
        """Lists or describes commands."""
        kinds = [verbs.get(name) for name in verbs]
        data = [
            {"usage": k.usage, "summary": k.summary, "example": k.example}
            for k in sorted(kinds, key=lambda kind: kind.usage)
        ]
        if self.topic is None:
            rows = [(item["usage"], item["summary"]) for item in data]
            return Report(data, [Table(("command", "what it does"), rows)])
        found = [
            item for item in data if self.topic in item["usage"].split()[:2]
        ]
        if not found:
            known = sorted({item["usage"].split()[0] for item in data})
            raise UsageError(
                f"unknown command {self.topic}; known: {', '.join(known)}"
            )
        blocks: list[str | Table] = []
        for item in found:
            blocks += [item["usage"], f"  {item['summary']}"]
            blocks += [f"  example: {item['example']}"]
        return Report(found, blocks)
