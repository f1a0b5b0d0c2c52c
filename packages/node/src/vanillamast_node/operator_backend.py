"""What the operators' listener needs of the node."""

from collections.abc import Iterable
from typing import Any, Protocol

from vanillamast_core.journal import Outcome, Record


class OperatorBackend(Protocol):
    """Access to the control side for operators."""

    def query_names(self) -> Iterable[str]:
        """Returns the names of the queries."""

    def query(self, name: str, params: dict[str, Any]) -> Any:
        """Answers a query with JSON values."""

    async def submit(self, record: Record) -> Outcome | None:
        """Appends a record; None if its outcome is not known in time."""

    def find_outcome(self, record_id: str) -> Outcome | None:
        """Returns the outcome of a record, if it is known."""

    async def read_events(
        self, after: int, wait_s: float
    ) -> list[dict[str, Any]]:
        """Returns what happened after a sequence number."""
