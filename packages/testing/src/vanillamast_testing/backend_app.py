"""HTTP interface of the fake backend server (falcon)."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import falcon
import falcon.asgi
import msgspec
from vanillamast_core import VanillamastError

from vanillamast_testing.answer_body import answer_body
from vanillamast_testing.backend_settings import BackendSettings
from vanillamast_testing.backend_state import BackendState
from vanillamast_testing.badness import (
    NO_FAULT,
    Badness,
    BadnessError,
    Fault,
    decode_badness,
)
from vanillamast_testing.connection_control import (
    ConnectionControl,
    connection_of,
)
from vanillamast_testing.load_gauge import LoadGauge
from vanillamast_testing.run_counts import RunCounts
from vanillamast_testing.slot_pool import ShedError, SlotPool

DEADLINE_HEADER = "vanillamast-deadline-ms"
NOT_RUN_HEADER = "vanillamast-not-run"
LOAD_HEADER = "vanillamast-load"
NODE_REQUEST_ID_HEADER = "vanillamast-request-id"
REQUEST_ID_HEADER = "x-request-id"
DEFAULT_DEADLINE_MS = 30_000
DEFAULT_BYTES = 64
CHUNK_BYTES = 16_384


class StoppedError(VanillamastError):
    """The work stopped: deadline exceeded or caller disconnected."""


class Backend:
    """A fake backend server.

    Attributes:
      settings: How it behaves apart from its badness.
      state: Starting, serving, draining or stopped.
      gauge: The load that it reports.
      slots: Requests that run at once.
      counts: Counts of its requests.
      badness: Its fault.
      badness_at: Loop time at which `badness` was set.
      rng: Chooses the requests that a partial badness affects.
      session: Client for downstream calls.
    """

    def __init__(
        self,
        settings: BackendSettings,
        badness: Badness,
        rng: random.Random,
        session: aiohttp.ClientSession,
    ):
        now = asyncio.get_running_loop().time()
        self.settings = settings
        self.state = BackendState(settings, now)
        self.gauge = LoadGauge(settings)
        self.slots = SlotPool(settings.slots, settings.queue_limit)
        self.counts = RunCounts()
        self.badness = badness
        self.badness_at = now
        self.rng = rng
        self.session = session

    def app(self) -> falcon.asgi.App:
        """Returns the ASGI application."""
        app = falcon.asgi.App()
        app.add_route("/control/runs", self, suffix="runs")
        app.add_route("/control/status", self, suffix="status")
        app.add_route("/control/badness", self, suffix="badness")
        app.add_route("/control/drain", self, suffix="drain")
        app.add_sink(self.handle, prefix="/")
        return app

    async def on_get_runs(self, req: Any, resp: Any) -> None:
        """Returns how many times each request id ran."""
        resp.media = msgspec.to_builtins(self.counts)

    async def on_get_status(self, req: Any, resp: Any) -> None:
        """Returns the server's state, badness and load."""
        now = asyncio.get_running_loop().time()
        resp.media = {
            "service": self.settings.service,
            "version": self.settings.version,
            "state": self.state.state(now).name.lower(),
            "running": self.slots.running,
            "badness": msgspec.to_builtins(self.badness),
        }

    async def on_post_badness(self, req: Any, resp: Any) -> None:
        """Replaces the badness; `{}` ends it."""
        try:
            self.badness = decode_badness(await req.stream.read())
        except BadnessError as error:
            raise falcon.HTTPBadRequest(title=str(error)) from error
        self.badness_at = asyncio.get_running_loop().time()
        resp.media = msgspec.to_builtins(self.badness)

    async def on_post_drain(self, req: Any, resp: Any) -> None:
        """Begins a planned stop, as on SIGTERM but without the exit."""
        self.state.start_final_drain(asyncio.get_running_loop().time())
        resp.media = {}

    async def handle(self, req: Any, resp: Any, **_: Any) -> None:
        """Answers GET and POST on any path."""
        loop = asyncio.get_running_loop()
        body = await req.stream.read()
        resp.set_header("x-body-bytes", str(len(body)))
        node_request_id = req.get_header(NODE_REQUEST_ID_HEADER)
        if node_request_id is not None:
            resp.set_header(NODE_REQUEST_ID_HEADER, node_request_id)
        resp.set_header(LOAD_HEADER, f"{self.gauge.report(loop.time()):.3f}")
        deadline = loop.time() + _header_ms(req, DEADLINE_HEADER) / 1000
        if self.state.violates_drain(loop.time()):
            self.counts.late_arrivals += 1
        try:
            async with asyncio.timeout_at(deadline):
                await self.slots.acquire()
        except (ShedError, TimeoutError) as error:
            self._refuse(resp, shed=isinstance(error, ShedError))
            return
        try:
            if connection_of(req.scope).closed.is_set():
                # The caller disconnected while the request waited for a slot.
                raise StoppedError
            await self._answer(req, resp, deadline)
        except StoppedError:
            self.counts.stopped += 1
            resp.status = falcon.HTTP_504
        finally:
            self.slots.release()
            self.gauge.measure(self.slots.busy, loop.time())

    def _note_run(self, request_id: str) -> None:
        self.counts.started(request_id)
        if self.settings.run_log:
            with open(self.settings.run_log, "a") as file:
                file.write(request_id + "\n")

    def _refuse(self, resp: Any, shed: bool) -> None:
        """Refuses a request that did not run."""
        if shed:
            self.counts.shed += 1
        else:
            self.counts.late += 1
        resp.status = falcon.HTTP_503
        resp.set_header(NOT_RUN_HEADER, "1")

    async def _answer(self, req: Any, resp: Any, deadline: float) -> None:
        request_id = req.get_header(REQUEST_ID_HEADER) or "none"
        now = asyncio.get_running_loop().time()
        self.gauge.measure(self.slots.busy, now)
        self._note_run(request_id)
        fault = self._choose_fault(req.path, now)
        control = connection_of(req.scope)
        work = self._work(req, resp, fault, deadline)
        await _until_stopped(work, control, deadline)
        self.counts.completed += 1
        size = req.get_param_as_int("bytes", default=DEFAULT_BYTES)
        data = answer_body(request_id, size)
        resp.status = falcon.code_to_http_status(fault.status)
        resp.set_header("x-version", self.settings.version)
        resp.content_type = "application/octet-stream"
        resp.content_length = len(data)
        resp.stream = _chunks(data, control if fault.cut else None)

    def _choose_fault(self, path: str, now: float) -> Fault:
        age = now - self.badness_at
        if not self.badness.affects(path, age, self.slots.busy):
            return NO_FAULT
        if self.rng.random() >= self.badness.share:
            return NO_FAULT
        return self.badness.fault()

    async def _work(
        self, req: Any, resp: Any, fault: Fault, deadline: float
    ) -> None:
        now = asyncio.get_running_loop().time()
        work_ms = req.get_param_as_float("delay_ms", default=0.0)
        work_ms += self.settings.work_ms * self.state.slowdown(now)
        await asyncio.sleep(work_ms / 1000 + fault.delay_s)
        statuses = [
            await self._call(req, path, index, deadline)
            for index, path in enumerate(req.get_param_as_list("next") or [])
        ]
        if statuses:
            resp.set_header("x-next-status", ",".join(map(str, statuses)))

    async def _call(
        self, req: Any, path: str, index: int, deadline: float
    ) -> int:
        """Calls a downstream route; returns its status, 0 without answer."""
        remaining = deadline - asyncio.get_running_loop().time()
        parent = req.get_header(REQUEST_ID_HEADER) or "none"
        headers = {
            REQUEST_ID_HEADER: f"{parent}.{index}",
            DEADLINE_HEADER: str(max(0, int(remaining * 1000))),
        }
        url = f"http://{self.settings.node_callers}{path}"
        try:
            async with self.session.get(url, headers=headers) as answer:
                await answer.read()
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 0


async def _until_stopped(
    work: Any, control: ConnectionControl, deadline: float
) -> None:
    """Runs work until its end, the deadline or the caller's disconnect.

    Raises:
      StoppedError: The work did not end.
    """
    loop = asyncio.get_running_loop()
    task = asyncio.ensure_future(work)
    closed = asyncio.ensure_future(control.closed.wait())
    remaining = max(0.0, deadline - loop.time())
    await asyncio.wait(
        {task, closed},
        timeout=remaining,
        return_when=asyncio.FIRST_COMPLETED,
    )
    closed.cancel()
    if task.done():
        task.result()
        return
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    raise StoppedError


async def _chunks(
    data: bytes, cut: ConnectionControl | None
) -> AsyncIterator[bytes]:
    """Yields a body, or half of it before the connection is closed."""
    end = len(data) if cut is None else len(data) // 2
    for start in range(0, end, CHUNK_BYTES):
        yield data[start : min(end, start + CHUNK_BYTES)]
    if cut is not None:
        # Gives the transport a turn to send the first half.
        await asyncio.sleep(0.01)
        cut.abort()


def _header_ms(req: Any, name: str) -> float:
    try:
        return float(req.get_header(name) or DEFAULT_DEADLINE_MS)
    except ValueError:
        return DEFAULT_DEADLINE_MS
