"""An emulated caller."""

import dataclasses
import itertools
import secrets

import aiohttp

from vanillamast_testing.emulator.backend import (
    DEADLINE_HEADER,
    LEAVING_HEADER,
    REQUEST_ID_HEADER,
    SIGNATURE_HEADER,
)
from vanillamast_testing.emulator.machine import Machine
from vanillamast_testing.emulator.operator import HOST

NO_ANSWER_STATUS = 0


@dataclasses.dataclass
class CallerAnswer:
    """The answer to a request of a caller.

    Attributes:
      request_id: Id of the request.
      status: Status, `NO_ANSWER_STATUS` if the connection ended without an
        answer.
      body: Body.
      signature: The server's signature, "" without one.
      echoed_id: Request id in the answer.
      retry_after_s: Value of Retry-After, None without one.
      leaving: Whether the answer says that the server leaves.
      challenge: Value of WWW-Authenticate, "" without one.
    """

    request_id: str
    status: int
    body: str = ""
    signature: str = ""
    echoed_id: str = ""
    retry_after_s: float | None = None
    leaving: bool = False
    challenge: str = ""


class Caller:
    """Sends requests to the nodes of machines.

    Attributes:
      session: HTTP session.
    """

    def __init__(self) -> None:
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        self.request_numbers = itertools.count(1)
        self.prefix = secrets.token_hex(4)

    async def close(self) -> None:
        """Closes all connections."""
        await self.session.close()

    async def send(
        self,
        machine: Machine,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        headers: dict[str, str] | None = None,
        key: str = "",
    ) -> CallerAnswer:
        """Sends a request to the node of a machine, with an API key if any."""
        request_id = f"{self.prefix}{next(self.request_numbers):08x}"
        request_headers = {
            "Host": HOST,
            REQUEST_ID_HEADER: request_id,
            DEADLINE_HEADER: str(deadline_ms),
        }
        if key:
            request_headers["Authorization"] = f"Bearer {key}"
        request_headers.update(headers or {})
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000.0 + 1.0)
        try:
            async with self.session.request(
                method,
                machine.url("outbound", path),
                data=body or None,
                headers=request_headers,
                timeout=timeout,
            ) as answer:
                text = (await answer.read()).decode()
                after = answer.headers.get("Retry-After")
                return CallerAnswer(
                    request_id,
                    answer.status,
                    text,
                    answer.headers.get(SIGNATURE_HEADER, ""),
                    answer.headers.get(REQUEST_ID_HEADER, ""),
                    float(after) if after is not None else None,
                    answer.headers.get(LEAVING_HEADER) == "1",
                    answer.headers.get("WWW-Authenticate", ""),
                )
        except (OSError, aiohttp.ClientError, TimeoutError):
            return CallerAnswer(request_id, NO_ANSWER_STATUS)
