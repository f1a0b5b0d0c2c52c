"""An emulated backend server."""

import asyncio
import dataclasses
import itertools
import time

import aiohttp
import msgspec
from aiohttp import web

REQUEST_ID_HEADER = "X-Vanillamast-Request-Id"
DEADLINE_HEADER = "X-Vanillamast-Deadline-Ms"
EXPECT_INSTANCE_HEADER = "X-Vanillamast-Expect-Instance"
CALLER_HEADER = "X-Vanillamast-Caller"
SIGNATURE_HEADER = "X-Vanillamast-Response-Signature"
NOT_EXECUTED_HEADER = "X-Vanillamast-Not-Executed"
RATE_LIMIT_HEADER = "Server-Limit"
LEAVING_HEADER = "Server-Leaving"
ORGANISATION_HEADER = "X-Vanillamast-Tenant"


@dataclasses.dataclass
class Run:
    """A request that a server began to run.

    Attributes:
      request_id: Its id.
      method: Its method.
      path: Its path and query.
      body: Its body.
      caller: Service that sent it.
      deadline_ms: Time until the caller's deadline, -1 if the header is
        missing.
      arrived_at: When it arrived, in monotonic seconds.
      organisations: Values of the header fields that name the organisation.
      authorizations: Values of its Authorization fields.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    caller: str
    deadline_ms: int
    arrived_at: float
    organisations: list[str] = dataclasses.field(default_factory=list)
    authorizations: list[str] = dataclasses.field(default_factory=list)


class Backend:
    """Runs requests and sends heartbeats to the node on its machine.

    Attributes:
      id: Id of the server.
      service: Service that it serves.
      version: Server version.
      host: Address of its machine.
      port: Port of the server.
      control_port: Port of the node that receives its heartbeats.
      zone: Failure domain of its machine.
      work_s: Duration of a request.
      slots: Requests that it runs at once.
      heartbeat_s: Interval of heartbeats.
      fail_every: Every n-th request fails; 0 for none.
      fail_status: Status of these failures, of requests that have run.
      truncate_every: Every n-th answer is cut off in its body; 0 for none.
      rate_limit: Requests a second that its answers name as its limit, None
        for no limit. It is not enforced.
      deadly_path: Path whose requests end the server; "" for none.
      restart_s: Time until it starts again after such an end.
      crashes: Number of such ends.
      cold_until: Monotonic time until which its heartbeats say that it is
        cold. It runs requests as usual meanwhile.
      names_leaving: Whether its answers say that it leaves.
      arrivals: Monotonic times at which requests arrived.
      runs: Requests that it began to run.
      most_running: Highest number of requests that ran at once.
      leave_acknowledged_at: Monotonic time at which the node acknowledged the
        drain or the deregistration, None before.
    """

    def __init__(
        self,
        instance_id: str,
        service: str,
        host: str,
        port: int,
        control_port: int,
        zone: str,
        version: str = "v1",
    ):
        self.id = instance_id
        self.service = service
        self.version = version
        self.host = host
        self.port = port
        self.control_port = control_port
        self.zone = zone
        self.work_s = 0.01
        self.slots = 4
        self.heartbeat_s = 0.3
        self.fail_every = 0
        self.fail_status = 500
        self.truncate_every = 0
        self.rate_limit: float | None = None
        self.deadly_path = ""
        self.restart_s = 1.0
        self.crashes = 0
        self.crash_task: asyncio.Task[None] | None = None
        self.cold_until = 0.0
        self.names_leaving = False
        self.arrivals: list[float] = []
        self.born_ms = int(time.time() * 1000)
        self.heartbeat_numbers = itertools.count(1)
        self.state = "ready"
        self.runs: list[Run] = []
        self.running = 0
        self.most_running = 0
        self.leave_acknowledged_at: float | None = None
        self.runner: web.AppRunner | None = None
        self.site: web.TCPSite | None = None
        self.heartbeat_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts to listen and to send heartbeats."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_route("*", "/{tail:.*}", self._serve)
        self.runner = web.AppRunner(
            app, shutdown_timeout=0.1, handler_cancellation=True
        )
        await self.runner.setup()
        self.site = web.TCPSite(self.runner, self.host, self.port)
        await self.site.start()
        self.heartbeat_task = asyncio.create_task(self._send_heartbeats())

    async def _crash(self) -> None:
        """Ends and starts again as a new incarnation."""
        self.crashes += 1
        if self.site is not None:
            await self.site.stop()
        if self.runner is not None and self.runner.server is not None:
            for connection in self.runner.server.connections:
                if connection.transport is not None:
                    connection.transport.abort()
        await self._close()
        await asyncio.sleep(self.restart_s)
        self.born_ms = int(time.time() * 1000)
        self.heartbeat_numbers = itertools.count(1)
        self.crash_task = None
        await self.start()

    async def kill(self) -> None:
        """Closes everything without deregistering, as a crash does."""
        if self.crash_task is not None:
            self.crash_task.cancel()
        await self._close()

    async def _close(self) -> None:
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    async def drain(self) -> bool:
        """Announces the drain; returns whether the node acknowledged it."""
        self.state = "draining"
        if await self.heartbeat():
            self.leave_acknowledged_at = time.monotonic()
            return True
        return False

    async def heartbeat(
        self, sequence: int | None = None, **changes: object
    ) -> bool:
        """Sends a heartbeat; returns whether the node acknowledged it.

        Args:
          sequence: Its sequence number, None for the next one.
          **changes: Fields whose values differ from the server's own.
        """
        body = {
            "service": self.service,
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "max_concurrency": self.slots,
            "state": self.state,
            "cold_left_s": max(0.0, self.cold_until - time.monotonic()),
            "sequence": next(self.heartbeat_numbers)
            if sequence is None
            else sequence,
            "born": self.born_ms,
            **changes,
        }
        return await self._post("heartbeat", body)

    async def deregister(self) -> bool:
        """Deregisters; returns whether the node acknowledged it."""
        if await self._post("deregister", {"born": self.born_ms}):
            self.leave_acknowledged_at = time.monotonic()
            return True
        return False

    async def _post(self, action: str, body: dict[str, object]) -> bool:
        url = (
            f"http://{self.host}:{self.control_port}/api/instances/{self.id}"
            f"/{action}"
        )
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, data=msgspec.json.encode(body)) as answer,
            ):
                return answer.status == 200
        except (OSError, aiohttp.ClientError, TimeoutError):
            return False

    async def _send_heartbeats(self) -> None:
        while True:
            await self.heartbeat()
            await asyncio.sleep(self.heartbeat_s)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.arrivals.append(time.monotonic())
        headers = {
            REQUEST_ID_HEADER: request.headers.get(REQUEST_ID_HEADER, "")
        }
        if self.rate_limit is not None:
            headers[RATE_LIMIT_HEADER] = f"{self.rate_limit:g}"
        if self.names_leaving:
            headers[LEAVING_HEADER] = "1"
        expected = request.headers.get(EXPECT_INSTANCE_HEADER)
        if expected is not None and expected != self.id:
            return web.Response(status=421, headers=headers)
        if self.running >= self.slots:
            headers[NOT_EXECUTED_HEADER] = "1"
            return web.Response(status=503, headers=headers)
        body = await request.read()
        self.runs.append(
            Run(
                request.headers.get(REQUEST_ID_HEADER, ""),
                request.method,
                request.path_qs,
                body,
                request.headers.get(CALLER_HEADER, ""),
                int(request.headers.get(DEADLINE_HEADER, "-1")),
                time.monotonic(),
                request.headers.getall(ORGANISATION_HEADER, []),
                request.headers.getall("Authorization", []),
            )
        )
        number = len(self.runs)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await asyncio.sleep(self.work_s)
            if request.path == self.deadly_path:
                if self.crash_task is None:
                    self.crash_task = asyncio.create_task(self._crash())
                await asyncio.sleep(self.restart_s)
        finally:
            self.running -= 1
        headers[SIGNATURE_HEADER] = f"{self.id}.{number}"
        if self.fail_every and number % self.fail_every == 0:
            return web.Response(status=self.fail_status, headers=headers)
        text = f"{self.id} {request.method} {request.path_qs} {len(body)}"
        if self.truncate_every and number % self.truncate_every == 0:
            headers["Content-Length"] = str(len(text) + 10)
            response = web.StreamResponse(headers=headers)
            await response.prepare(request)
            await response.write(text.encode())
            if request.transport is not None:
                request.transport.abort()
            return response
        return web.Response(text=text, headers=headers)
