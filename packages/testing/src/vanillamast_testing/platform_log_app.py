"""HTTP interface of the platform log's stand-in (falcon)."""

import asyncio
import contextlib
import random
import time
from base64 import b64encode
from typing import Any

import falcon
import falcon.asgi
import msgspec

from vanillamast_testing.connection_control import connection_of
from vanillamast_testing.platform_log_faults import PlatformLogFaults
from vanillamast_testing.platform_log_store import (
    AppendRateError,
    PlatformLogStore,
)

DEFAULT_READ_LIMIT = 512


class PlatformLog:
    """The stand-in's resources and fault switches.

    Attributes:
      store: The records.
      faults: The faults in effect.
      rng: Chooses the appends whose answer is lost.
      changed: Set, and replaced, when a record arrives or a fault changes.
    """

    def __init__(self, store: PlatformLogStore, rng: random.Random):
        self.store = store
        self.faults = PlatformLogFaults()
        self.rng = rng
        self.changed = asyncio.Event()

    def app(self) -> falcon.asgi.App:
        """Returns the ASGI application."""
        app = falcon.asgi.App()
        app.add_route("/v1/append", self, suffix="append")
        app.add_route("/v1/read", self, suffix="read")
        app.add_route("/v1/faults", self, suffix="faults")
        return app

    async def on_post_append(self, req: Any, resp: Any) -> None:
        """Appends the request's body."""
        data = await req.stream.read(self.store.settings.max_record_bytes + 1)
        if len(data) > self.store.settings.max_record_bytes:
            raise falcon.HTTPContentTooLarge(title="record too large")
        if not await self._pass_faults(req, resp):
            return
        try:
            offset = self.store.append(data, time.time())
        except AppendRateError as error:
            raise falcon.HTTPTooManyRequests(title=str(error)) from error
        self.wake_pollers()
        if self._loses_answer():
            connection_of(req.scope).abort()
        resp.media = {"offset": offset}

    async def on_get_read(self, req: Any, resp: Any) -> None:
        """Returns records after an offset, waiting for one if asked to."""
        after = req.get_param_as_int("after", default=0, min_value=0)
        limit = req.get_param_as_int(
            "limit", default=DEFAULT_READ_LIMIT, min_value=1
        )
        wait_s = (req.get_param_as_int("wait_ms", default=0) or 0) / 1000
        if not await self._pass_faults(req, resp):
            return
        await self._wait_for_record(req, after, wait_s)
        if not await self._pass_faults(req, resp, delay=False):
            return
        self.store.expire(time.time())
        entries = [
            [offset, b64encode(data).decode()]
            for offset, data in self.store.read(after, limit)
        ]
        resp.media = {
            "first": self.store.first,
            "next": self.store.next,
            "entries": entries,
        }

    async def on_get_faults(self, req: Any, resp: Any) -> None:
        """Returns the faults in effect."""
        resp.media = msgspec.to_builtins(self.faults)

    async def on_post_faults(self, req: Any, resp: Any) -> None:
        """Replaces all faults; `{}` ends them."""
        body = await req.stream.read()
        try:
            self.faults = msgspec.json.decode(body, type=PlatformLogFaults)
        except msgspec.MsgspecError as error:
            raise falcon.HTTPBadRequest(title=str(error)) from error
        self.wake_pollers()
        resp.media = msgspec.to_builtins(self.faults)

    def wake_pollers(self) -> None:
        """Wakes all long polls, which check the records and faults again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def _pass_faults(
        self, req: Any, resp: Any, delay: bool = True
    ) -> bool:
        """Applies the faults; returns whether the call is still answered."""
        if delay:
            await asyncio.sleep(self.faults.delay_s)
        host, port = req.scope["server"]
        if f"{host}:{port}" in self.faults.cut:
            connection_of(req.scope).abort()
            return False
        if self.faults.outage:
            resp.status = falcon.HTTP_503
            resp.media = {"title": "outage"}
            return False
        return True

    async def _wait_for_record(
        self, req: Any, after: int, wait_s: float
    ) -> None:
        wait_s = min(wait_s, self.store.settings.max_wait_s)
        closed = connection_of(req.scope).closed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while (
                    self.store.next <= after + 1
                    and not self.faults.outage
                    and not closed.is_set()
                ):
                    await self.changed.wait()

    def _loses_answer(self) -> bool:
        if self.faults.lose_next > 0:
            self.faults.lose_next -= 1
            return True
        return self.rng.random() < self.faults.lose_share
