"""Appends records to the log and determines their outcomes."""

import asyncio
from collections.abc import Awaitable, Callable

import aiohttp
import msgspec
from vanillamast_core.journal import Outcome, Record, record_codec

from vanillamast_cli.errors import (
    NodeRefusedError,
    NodeUnreachableError,
    OutcomeUnknownError,
    RefusedError,
)
from vanillamast_cli.node_client import (
    CONNECTION_ERRORS,
    NodeClient,
    describe_connection_error,
    describe_refusal,
)

OUTCOME_POLL_S = 0.3
NOT_CONNECTED_ERRORS = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
)
RECORD_CONTENT_TYPE = "application/x-msgpack"


class RecordSender:
    """Sends one record until its outcome is known.

    Sending a record to several nodes is safe, because records with the same id
    take effect once.

    Attributes:
      client: Nodes and time limits.
      record: The record.
      maybe_appended: Whether some node may have appended it.
      failures: Why nodes did not answer.
    """

    def __init__(self, client: NodeClient, record: Record):
        self.client = client
        self.record = record
        self.maybe_appended = False
        self.failures: list[str] = []

    async def send(self) -> Outcome:
        """Returns the outcome of the accepted record.

        Raises:
          RefusedError: It was refused when the log was applied.
          NodeRefusedError: A node refused to append it.
          NodeUnreachableError: No node can have appended it.
          OutcomeUnknownError: It may or may not take effect.
        """
        outcome = await self._try_each_node(self._post)
        if outcome is None and not self.maybe_appended:
            raise NodeUnreachableError("; ".join(self.failures))
        if outcome is None:
            outcome = await self._wait_for_outcome()
        if not outcome.accepted:
            raise RefusedError(outcome, self.record.based_on)
        return outcome

    async def _try_each_node(
        self, call: Callable[[str], Awaitable[Outcome | None]]
    ) -> Outcome | None:
        for index in self.client.order_nodes():
            outcome = await call(self.client.settings.nodes[index])
            if outcome is not None:
                self.client.session.preferred_index = index
                return outcome
        return None

    async def _post(self, address: str) -> Outcome | None:
        try:
            async with self.client.http.post(
                f"http://{address}/v1/records",
                data=record_codec.encode(self.record),
                headers={"content-type": RECORD_CONTENT_TYPE},
                timeout=self.client.make_timeout(),
            ) as answer:
                return self._read_response(answer.status, await answer.read())
        except CONNECTION_ERRORS as error:
            # The node may have appended it if a connection was made.
            self.maybe_appended = self.maybe_appended or not isinstance(
                error, NOT_CONNECTED_ERRORS
            )
            self.failures.append(
                f"{address}: {describe_connection_error(error)}"
            )
            return None

    def _read_response(self, status: int, data: bytes) -> Outcome | None:
        if status == 200:
            self.maybe_appended = True
            return decode_outcome(data)
        if 400 <= status < 500 or is_marked_not_run(data):
            if self.maybe_appended:
                return None
            raise NodeRefusedError(describe_refusal(status, data))
        self.maybe_appended = True
        return None

    async def _wait_for_outcome(self) -> Outcome:
        """Polls the nodes for the outcome until the timeout."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.client.settings.timeout_s
        while True:
            outcome = await self._try_each_node(self._query_outcome)
            if outcome is not None:
                return outcome
            if loop.time() > deadline:
                raise OutcomeUnknownError(self.record.id)
            await asyncio.sleep(OUTCOME_POLL_S)

    async def _query_outcome(self, address: str) -> Outcome | None:
        return await query_outcome(self.client, address, self.record.id)


async def query_outcome(
    client: NodeClient, address: str, record_id: str
) -> Outcome | None:
    """Returns a record's outcome if the node answers and knows it."""
    try:
        async with client.http.get(
            f"http://{address}/v1/outcomes/{record_id}",
            timeout=client.make_timeout(),
        ) as answer:
            data = await answer.read()
            return decode_outcome(data) if answer.status == 200 else None
    except CONNECTION_ERRORS:
        return None


def decode_outcome(data: bytes) -> Outcome | None:
    """Returns the outcome in an answer, None if it holds none.

    Accepts the log's encoding, which is an array, and an object with the same
    field names.
    """
    try:
        value = msgspec.json.decode(data)
        if isinstance(value, dict):
            value = [value.get(name) for name in Outcome.__struct_fields__]
            value[3:] = [value[3] or 0, value[4] or ""]
        return msgspec.convert(value, Outcome)
    except msgspec.MsgspecError:
        return None


def is_marked_not_run(data: bytes) -> bool:
    """Returns whether a refusal's body has `not_run` set."""
    try:
        body = msgspec.json.decode(data)
    except msgspec.DecodeError:
        return False
    return isinstance(body, dict) and body.get("not_run") is True
