"""Client of the nodes' operator interface."""

import asyncio
from typing import Any, TypeVar

import aiohttp
import msgspec

from vanillamast_cli.errors import (
    NodeAnswerError,
    NodeRefusedError,
    NodeUnreachableError,
)
from vanillamast_cli.operator_session import OperatorSession
from vanillamast_cli.settings import CliSettings

T = TypeVar("T")
CONNECTION_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError)


class NodeClient:
    """Calls the nodes in order until one answers.

    Attributes:
      http: The HTTP client.
      settings: Nodes and time limits.
      session: Holds the index of the node that answered last.
    """

    def __init__(
        self,
        http: aiohttp.ClientSession,
        settings: CliSettings,
        session: OperatorSession,
    ):
        self.http = http
        self.settings = settings
        self.session = session

    def order_nodes(self) -> list[int]:
        """Returns the indices of the nodes, the preferred one first."""
        count = len(self.settings.nodes)
        first = self.session.preferred_index
        return [(first + index) % count for index in range(count)]

    async def get(self, path: str, answer_type: type[T], **query: Any) -> T:
        """Returns the answer of the first node that can be reached.

        Args:
          path: Path of the call.
          answer_type: Type to decode the answer as.
          **query: Query parameters; those that are None are left out.

        Raises:
          NodeUnreachableError: No node answered.
          NodeRefusedError: The node refused.
          NodeAnswerError: The answer does not have the type.
        """
        failures = []
        for index in self.order_nodes():
            address = self.settings.nodes[index]
            try:
                answer = await self.get_from(
                    address, path, answer_type, **query
                )
            except NodeUnreachableError as error:
                failures.append(str(error))
                continue
            self.session.preferred_index = index
            return answer
        raise NodeUnreachableError("; ".join(failures))

    async def get_from(
        self, address: str, path: str, answer_type: type[T], **query: Any
    ) -> T:
        """Returns the answer of one node; raises like `get`."""
        wait_s = query.get("wait_ms", 0) / 1000
        parameters = {k: str(v) for k, v in query.items() if v is not None}
        try:
            async with self.http.get(
                f"http://{address}{path}",
                params=parameters,
                timeout=self.make_timeout(wait_s),
            ) as answer:
                status, data = answer.status, await answer.read()
        except CONNECTION_ERRORS as error:
            raise NodeUnreachableError(
                f"{address}: {describe_connection_error(error)}"
            ) from error
        if status != 200:
            raise NodeRefusedError(
                f"{address}: {describe_refusal(status, data)}"
            )
        try:
            return msgspec.json.decode(data, type=answer_type)
        except msgspec.MsgspecError as error:
            raise NodeAnswerError(f"{address}{path}: {error}") from error

    def make_timeout(self, wait_s: float = 0.0) -> aiohttp.ClientTimeout:
        """Returns the timeouts of one call.

        Args:
          wait_s: How long the node may hold its answer in a long poll.
        """
        return aiohttp.ClientTimeout(
            total=self.settings.timeout_s + wait_s,
            sock_connect=self.settings.connect_timeout_s,
        )


def describe_connection_error(error: BaseException) -> str:
    """Returns a short reason why a node did not answer."""
    if isinstance(error, TimeoutError):
        return "no answer in time"
    if isinstance(error, aiohttp.ClientConnectorError):
        return "connection refused"
    return str(error) or type(error).__name__


def describe_refusal(status: int, data: bytes) -> str:
    """Formats the status and the error body of a node's answer."""
    try:
        body = msgspec.json.decode(data)
    except msgspec.DecodeError:
        body = None
    if not isinstance(body, dict):
        return f"status {status}"
    parts = [body.get("kind"), body.get("detail"), body.get("title")]
    details = ", ".join(str(part) for part in parts if part)
    return f"status {status}" + (f", {details}" if details else "")
