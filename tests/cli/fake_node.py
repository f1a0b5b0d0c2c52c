"""A node's operator interface on a journal, without a mesh."""

import contextlib
import io
import types
import uuid
from collections.abc import AsyncIterator, Callable, Iterable
from typing import Any

import msgspec
from vanillamast_cli import CliSettings, Executor, ExitStatus
from vanillamast_core import Announcement
from vanillamast_core.configuration import Configuration, diff
from vanillamast_core.control.queries import queries
from vanillamast_core.journal import (
    Journal,
    LogEntry,
    Outcome,
    Publish,
    Record,
    record_codec,
)
from vanillamast_node.operator_listener import make_operator_app
from vanillamast_testing import serve
from vanillamast_testing.connection_control import connection_of

NOW = 1_800_000_000.0


class FakeNode:
    """Applies the records that operators append and answers queries.

    Attributes:
      journal: Journal that applies the records.
      before_append: Called once before the next record is applied, to make a
        concurrent change.
      lose_answers: Number of next appends that are applied, but not answered.
      withheld_outcomes: Number of next appends that are applied, but answered
        without an outcome.
      hidden_lookups: Number of next outcome lookups that find none.
      events: Events that `follow` reads.
      records: Records in order of their arrival.
    """

    def __init__(self) -> None:
        self.journal = Journal()
        self.before_append: Callable[[], None] | None = None
        self.lose_answers = 0
        self.withheld_outcomes = 0
        self.hidden_lookups = 0
        self.events: list[dict[str, Any]] = []
        self.records: list[Record] = []
        own = Announcement("a-1", 1, "uy-sur", "a", "127.0.0.1:1")
        directory = types.SimpleNamespace(
            records={"a-1": own},
            dead=set(),
            drained=set(),
            get_announcement=lambda name: own,
            get_known=lambda service: [own],
            get_liveness=lambda name: None,
        )
        self.mesh = types.SimpleNamespace(
            own=own,
            directory=directory,
            count_links=lambda: 2,
            reading_log=True,
            alarms=types.SimpleNamespace(moves={}),
        )
        self.table = types.SimpleNamespace(applied_version=0, routes={})
        self.data_plane = types.SimpleNamespace(
            table=self.table, servers={}, splits={}
        )
        self.stopping = False

    def append(self, record: Record) -> Outcome:
        """Applies a record at the next offset."""
        offset = self.journal.offset + 1
        data = record_codec.encode(record)
        outcome = self.journal.apply(LogEntry(offset, data))
        assert outcome is not None
        self.table.routes = self.journal.state.configuration.routes
        self.table.applied_version = self.journal.state.version
        return outcome

    def publish(self, configuration: Configuration) -> Outcome:
        """Publishes a configuration without the operators' command."""
        changes = diff(self.journal.state.configuration, configuration)
        return self.append(
            Publish(
                id=str(uuid.uuid4()),
                based_on=self.journal.offset,
                changes=tuple(changes),
            )
        )

    def query_names(self) -> Iterable[str]:
        """Returns the names of the queries."""
        return [*queries, "metrics"]

    def query(self, name: str, params: dict[str, Any]) -> Any:
        """Answers a query with the node's own functions."""
        if name == "metrics":
            return {"requests": {"served": 3}}
        return queries.get(name)(self, params, NOW)  # type: ignore[arg-type]

    async def submit(self, record: Record) -> Outcome | None:
        """Applies a record, after `before_append`."""
        self.records.append(record)
        if self.before_append is not None:
            change, self.before_append = self.before_append, None
            change()
        outcome = self.append(record)
        if self.withheld_outcomes:
            self.withheld_outcomes -= 1
            return None
        return outcome

    def find_outcome(self, record_id: str) -> Outcome | None:
        """Returns a record's outcome, unless lookups are hidden."""
        if self.hidden_lookups:
            self.hidden_lookups -= 1
            return None
        return self.journal.state.outcomes.get(record_id)

    async def read_events(
        self, after: int, wait_s: float
    ) -> list[dict[str, Any]]:
        """Returns events after a sequence number."""
        return [event for event in self.events if event["sequence"] > after]

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncIterator[str]:
        """Serves the interface; yields its address."""
        inner = make_operator_app(self)

        async def app(scope: Any, receive: Any, send: Any) -> None:
            lose = self.lose_answers > 0 and scope["path"] == "/v1/records"
            if not lose:
                await inner(scope, receive, send)
                return
            self.lose_answers -= 1

            async def abort(message: Any) -> None:
                connection_of(scope).abort()

            await inner(scope, receive, abort)

        async with serve(app, "127.0.0.1:0") as (address,):
            yield address


class Operator:
    """An operator at a prompt.

    Attributes:
      executor: Runs the lines.
    """

    def __init__(self, *nodes: str, timeout_s: float = 15.0):
        settings = CliSettings(nodes, "json", timeout_s)
        self.executor = Executor(
            settings, io.StringIO(), io.StringIO(), lambda: NOW
        )

    async def run(self, line: str) -> tuple[ExitStatus, list[Any]]:
        """Runs a line; returns the status and the printed JSON values."""
        self.executor.out = out = io.StringIO()
        status = await self.executor.execute(line)
        lines = out.getvalue().splitlines()
        return status, [msgspec.json.decode(text) for text in lines]
