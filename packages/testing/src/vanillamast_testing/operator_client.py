"""Client of the HTTP interfaces of nodes and stand-ins."""

import asyncio
from typing import Any

import aiohttp

CALL_TIMEOUT_S = 2.0


class OperatorClient:
    """A session for JSON calls.

    Attributes:
      session: The session, open within `async with`.
    """

    def __init__(self) -> None:
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> "OperatorClient":
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.session.close()

    async def get(self, address: str, path: str) -> Any | None:
        """Returns the answer of a GET, None if there is none."""
        try:
            async with self.session.get(f"http://{address}{path}") as answer:
                return await answer.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    async def post(self, address: str, path: str, body: Any) -> Any | None:
        """Returns the answer of a POST, None if there is none."""
        url = f"http://{address}{path}"
        try:
            async with self.session.post(url, json=body) as answer:
                return await answer.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None

    async def get_all(
        self, addresses: list[str], path: str
    ) -> dict[str, Any | None]:
        """Returns the answers of several nodes by address."""
        answers = await asyncio.gather(
            *(self.get(address, path) for address in addresses)
        )
        return dict(zip(addresses, answers, strict=True))
