"""Commands that show and control moves."""

import dataclasses
from typing import Any, ClassVar

import msgspec
from vanillamast_core.configuration import (
    Change,
    Configuration,
    MoveSpec,
    SetMove,
    apply_changes,
)
from vanillamast_core.journal import HoldMove, Record, ResumeMove, StopMove

from vanillamast_cli.context import Context
from vanillamast_cli.errors import UsageError
from vanillamast_cli.node_answers import MoveAnswer, MovesAnswer
from vanillamast_cli.publishing import (
    find_ended_moves,
    get_configuration,
    make_record_id,
    publish_changes,
    require_valid,
)
from vanillamast_cli.record_sender import RecordSender
from vanillamast_cli.report import Report, Table
from vanillamast_cli.status_verbs import make_name_value_table
from vanillamast_cli.times import Deadline, format_time
from vanillamast_cli.verb import Verb, verbs

MOVE_COLUMNS = (
    "move",
    "service",
    "from",
    "to",
    "state",
    "share",
    "deadline",
    "verdict",
    "reason",
)


def make_move_row(move: MoveAnswer) -> tuple[Any, ...]:
    """Returns the table row of a move."""
    deadline = format_time(move.deadline)
    return (
        *(move.name, move.service, move.old, move.new, move.state),
        *(move.share, deadline, move.verdict, move.reason),
    )


@verbs.register("show_moves")
@dataclasses.dataclass(frozen=True, slots=True)
class ShowMoves(Verb):
    """Shows all moves."""

    usage = "show moves"
    summary = "shows all moves with state, share, deadline and reason"
    example = "vanillamast 'show moves'"

    async def run(self, context: Context) -> Report:
        """Shows the moves."""
        answer = await context.client.get("/v1/moves", MovesAnswer)
        context.session.seen_offset = answer.offset
        table = Table(
            MOVE_COLUMNS, [make_move_row(move) for move in answer.moves]
        )
        return Report(msgspec.to_builtins(answer.moves), [table])


@verbs.register("show_move")
@dataclasses.dataclass(frozen=True, slots=True)
class ShowMove(Verb):
    """Shows one move."""

    name: str

    usage = "show move NAME"
    summary = "shows one move in full"
    example = "vanillamast 'show move browse-1-2'"

    async def run(self, context: Context) -> Report:
        """Shows the move."""
        answer = await context.client.get("/v1/moves", MovesAnswer)
        context.session.seen_offset = answer.offset
        for move in answer.moves:
            if move.name == self.name:
                data = msgspec.to_builtins(move)
                shown = {**data, "deadline": format_time(move.deadline)}
                return Report(data, [make_name_value_table(shown)])
        known = ", ".join(move.name for move in answer.moves) or "none"
        raise UsageError(f"no move {self.name}; known: {known}")


@verbs.register("move")
@dataclasses.dataclass(frozen=True, slots=True)
class StartMove(Verb):
    """Starts a move of traffic to another backend server version."""

    service: str
    old: str
    new: str
    deadline: Deadline
    name: str | None = None
    on_deadline: str | None = None

    usage = (
        "move SERVICE from VERSION to VERSION (by TIME | in DURATION) "
        "[named NAME] [at deadline (hold | finish)]"
    )
    summary = "starts a move of a service's traffic"
    example = "vanillamast 'move browse from 1 to 2 in 30m'"

    async def run(self, context: Context) -> Report:
        """Publishes the move."""
        now = context.wall_clock()
        deadline = self.deadline.resolve(now)
        if deadline <= now:
            raise UsageError(f"deadline {format_time(deadline)} is in the past")
        current = await get_configuration(context)
        name = self.name or self.choose_free_name(current.configuration)
        if name in current.configuration.moves:
            raise UsageError(f"move {name} already exists; choose another name")
        changes: list[Change] = [SetMove(name, self.make_spec(deadline))]
        ended = await find_ended_moves(context, current.configuration)
        require_valid(apply_changes(current.configuration, changes), ended)
        return await publish_changes(context, current, changes, f"move {name}")

    def make_spec(self, deadline: float) -> MoveSpec:
        """Returns the move spec to publish."""
        spec = MoveSpec(self.service, self.old, self.new, deadline)
        if self.on_deadline is None:
            return spec
        return msgspec.structs.replace(spec, on_deadline=self.on_deadline)

    def choose_free_name(self, configuration: Configuration) -> str:
        """Returns a name that no move has yet."""
        base = f"{self.service}-{self.old}-{self.new}"
        name, count = base, 1
        while name in configuration.moves:
            count += 1
            name = f"{base}-{count}"
        return name


class MoveAction(Verb):
    """Base of the commands that change a move with one record.

    Attributes:
      record_type: Type of the record.
      done_text: Text printed when the record is accepted.
    """

    record_type: ClassVar[type[Record]]
    done_text: ClassVar[str]
    name: str

    async def run(self, context: Context) -> Report:
        """Appends the record."""
        record = self.record_type(
            id=make_record_id(),
            based_on=await context.get_base_offset(),
            move=self.name,  # type: ignore[call-arg]
        )
        outcome = await RecordSender(context.client, record).send()
        context.session.seen_offset = outcome.offset
        return Report(
            {"move": self.name, "offset": outcome.offset, "id": record.id},
            [f"move {self.name} {self.done_text} at offset {outcome.offset}"],
        )


@verbs.register("hold_move")
@dataclasses.dataclass(frozen=True)
class Hold(MoveAction):
    """Keeps a move at its share."""

    name: str

    record_type = HoldMove
    done_text = "is held"
    usage = "hold move NAME"
    summary = "keeps a running move at its share until it is resumed"
    example = "vanillamast 'hold move browse-1-2'"


@verbs.register("resume_move")
@dataclasses.dataclass(frozen=True)
class Resume(MoveAction):
    """Resumes a held move."""

    name: str

    record_type = ResumeMove
    done_text = "goes on"
    usage = "resume move NAME"
    summary = "lets a held move go on"
    example = "vanillamast 'resume move browse-1-2'"


@verbs.register("stop_move")
@dataclasses.dataclass(frozen=True)
class Stop(MoveAction):
    """Ends a move; all traffic goes to the old version."""

    name: str

    record_type = StopMove
    done_text = "is stopped"
    usage = "stop move NAME"
    summary = "ends a move for good; all traffic goes to the old version"
    example = "vanillamast 'stop move browse-1-2'"
