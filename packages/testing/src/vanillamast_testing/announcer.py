"""Announces a fake backend server to its node."""

import asyncio
from typing import Any

import aiohttp

from vanillamast_testing.backend_settings import BackendSettings
from vanillamast_testing.backend_state import BackendState
from vanillamast_testing.load_gauge import LoadGauge

ANNOUNCE_TIMEOUT_S = 2.0


class Announcer:
    """Renews the server's lease at its node and drains when the node says so.

    Attributes:
      settings: Address of the node and what to announce.
      state: State of the backend server.
      gauge: Load of the backend server.
      address: "ip:port" of the backend server.
      sent: Announcements that the node accepted.
      failed: Announcements that failed or were refused.
    """

    def __init__(
        self,
        settings: BackendSettings,
        state: BackendState,
        gauge: LoadGauge,
        address: str,
    ):
        self.settings = settings
        self.state = state
        self.gauge = gauge
        self.address = address
        self.sent = 0
        self.failed = 0

    async def run(self, session: aiohttp.ClientSession) -> None:
        """Announces until cancelled."""
        while True:
            await self.announce(session)
            await asyncio.sleep(self.settings.announce_every_s)

    async def announce(self, session: aiohttp.ClientSession) -> None:
        """Announces once; begins or ends a drain as the node answers."""
        if not self.settings.node_servers:
            return
        url = f"http://{self.settings.node_servers}/v1/announce"
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
        try:
            async with session.post(
                url, json=self.body(), timeout=timeout
            ) as answer:
                answer.raise_for_status()
                drain = bool((await answer.json())["drain"])
        except (aiohttp.ClientError, TimeoutError):
            self.failed += 1
            return
        self.sent += 1
        self.state.set_drained(drain, asyncio.get_running_loop().time())

    def body(self) -> dict[str, Any]:
        """Returns the announcement."""
        now = asyncio.get_running_loop().time()
        return {
            "address": self.address,
            "service": self.settings.service,
            "version": self.settings.version,
            "slots": self.settings.slots,
            "connections": self.settings.connections,
            "state": self.state.state(now).name.lower(),
            "load": self.gauge.report(now),
        }
