"""The interface between the operators' listener and the node."""

from collections.abc import Iterable
from typing import Any, Protocol

from vanillamast_core.journal import Outcome, Record


class OperatorBackend(Protocol):
    """Queries and commands that operators may send to a node."""

    def query_names(self) -> Iterable[str]:
        """Returns the names of the queries."""

    def query(self, name: str, params: dict[str, Any]) -> Any:
        """Answers a query with JSON values."""

    async def submit(self, record: Record) -> Outcome | None:
        """Appends a record; returns None if the outcome times out."""

    def find_outcome(self, record_id: str) -> Outcome | None:
        """Returns the outcome of a record, None if it is unknown."""

    async def read_events(
        self, after: int, wait_s: float
    ) -> list[dict[str, Any]]:
        """Returns the events after a sequence number."""
