"""A caller listener in front of scripted backend servers."""

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator, Callable, Sequence

import msgspec
from vanillamast_core import Announcement, ServerState
from vanillamast_core.configuration import CallerClass, Route, Service
from vanillamast_core.peers import ClaimKey, KeyAnswer, KeyState, SettleKey
from vanillamast_core.requests import (
    AttemptResult,
    RequestRouter,
    RequestSettings,
    RoutingDecision,
)
from vanillamast_node import (
    CallerListener,
    ForwardingContext,
    ForwardingSettings,
    UpstreamPool,
)

from tests.node.proxy.scripted_backend import ScriptedBackend

WARM_SINCE_MS = 1000
GRANTED = KeyAnswer(KeyState.GRANTED)
HANG_TIMEOUT_S = 20.0  # Longer than any test unless it hangs.
ROUTES = {
    "all": Route("/", "pages", methods=("GET", "HEAD", "PUT")),
    "posts": Route("/", "pages", methods=("POST",)),
    "once": Route("/once", "pages", methods=("PUT",), idempotent=False),
    "brief": Route("/brief", "pages", methods=("GET", "POST"), timeout_ms=200),
    "patient": Route(
        "/patient", "pages", methods=("GET", "POST"), timeout_ms=20_000
    ),
    "background": Route("/background", "pages", caller_class="background"),
}
CLASSES = {"background": CallerClass(priority=5, max_share=0.5)}


class SequenceSplit:
    """Replaces the version split of the moves package."""

    def __init__(self, share: float, rng: random.Random):
        self.share = share
        self.total = rng.random()

    def choose(self) -> bool:
        """Returns whether the next request goes to the new version."""
        self.total += self.share
        chosen = self.total >= 1.0
        self.total -= chosen
        return chosen


def announce(
    backend: ScriptedBackend | str, instance: str, **changes: object
) -> Announcement:
    """Returns a warm backend server's announcement."""
    address = backend if isinstance(backend, str) else backend.address
    announcement = Announcement(
        instance,
        1,
        "uy-sur",
        "a",
        "",
        service="pages",
        server_version="v1",
        server_address=address,
        state=ServerState.SERVING,
        serving_since_ms=WARM_SINCE_MS,
    )
    return msgspec.structs.replace(announcement, **changes)


@dataclasses.dataclass
class Response:
    """A response as read by the caller."""

    status: int
    head: bytes
    body: bytes

    def field(self, name: str) -> str | None:
        """Returns the value of a header field, None if it is absent."""
        for line in self.head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.strip().lower() == name.encode():
                return value.strip().decode()
        return None


class Caller:
    """A raw connection to the listener."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> None:
        """Sends raw bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def read_response(self, bodiless: bool = False) -> Response:
        """Reads one response.

        Raises:
          asyncio.IncompleteReadError: The response is incomplete.
          ConnectionError: The connection was reset.
        """
        head = await self.reader.readuntil(b"\r\n\r\n")
        response = Response(int(head.split(b" ")[1]), head, b"")
        if bodiless or response.status in (204, 304) or response.status < 200:
            return response
        length = response.field("content-length")
        if length is not None:
            response.body = await self.reader.readexactly(int(length))
            return response
        while True:
            size = int(await self.reader.readuntil(b"\r\n"), 16)
            chunk = await self.reader.readexactly(size + 2)
            response.body += chunk[:-2]
            if size == 0:
                return response

    async def call(
        self, method: str, target: str, fields: str = "", body: bytes = b""
    ) -> Response:
        """Sends a request and reads its response."""
        if body or method in ("POST", "PUT"):
            fields += f"Content-Length: {len(body)}\r\n"
        head = f"{method} {target} HTTP/1.1\r\nHost: x\r\n{fields}\r\n"
        await self.send(head.encode() + body)
        return await self.read_response(method == "HEAD")

    def close(self) -> None:
        """Resets the connection."""
        self.writer.transport.abort()


@dataclasses.dataclass
class ProxyFixture:
    """The listener under test, with recorded calls of its callbacks."""

    router: RequestRouter
    listener: CallerListener
    results: list[AttemptResult] = dataclasses.field(default_factory=list)
    decisions: list[RoutingDecision] = dataclasses.field(default_factory=list)
    claims: list[ClaimKey] = dataclasses.field(default_factory=list)
    settled: list[SettleKey] = dataclasses.field(default_factory=list)
    key_answer: KeyAnswer | None = GRANTED
    callers: list[Caller] = dataclasses.field(default_factory=list)

    async def connect_caller(self) -> Caller:
        """Connects a caller."""
        host, _, port = self.listener.address.rpartition(":")
        caller = Caller(*await asyncio.open_connection(host, int(port)))
        self.callers.append(caller)
        return caller

    async def claim(self, claim: ClaimKey) -> KeyAnswer:
        """Records a claim and replies in place of the home node."""
        self.claims.append(claim)
        if self.key_answer is None:
            raise ConnectionError("the home node does not answer")
        return self.key_answer

    async def settle(self, settle: SettleKey) -> None:
        """Records a settlement in place of the home node."""
        self.settled.append(settle)

    def set_servers(self, announcements: Sequence[Announcement]) -> None:
        """Sets the usable backend servers."""
        now = asyncio.get_running_loop().time()
        self.router.set_servers(
            "pages", list(announcements), False, now, WARM_SINCE_MS + 1e6
        )


async def eventually(condition: Callable[[], object]) -> None:
    """Waits until a condition holds; fails after `HANG_TIMEOUT_S`."""
    async with asyncio.timeout(HANG_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.002)


@contextlib.asynccontextmanager
async def run_proxy(
    *backends: ScriptedBackend | Announcement,
    settings: ForwardingSettings | None = None,
    requests: RequestSettings | None = None,
) -> AsyncIterator[ProxyFixture]:
    """Runs a listener in front of backend servers.

    Args:
      *backends: Backend servers, named "i0", "i1" and so on, or their
        announcements.
      settings: Settings of the HTTP path.
      requests: Settings of routing, limits and retries.
    """
    settings = settings or ForwardingSettings()
    router = RequestRouter(
        requests or RequestSettings(), "a", random.Random(7), SequenceSplit
    )
    router.set_routes(ROUTES, CLASSES, {"pages": Service("v1")})
    async with (
        asyncio.timeout(HANG_TIMEOUT_S),
        UpstreamPool(settings) as upstream,
    ):
        proxy: ProxyFixture
        context = ForwardingContext(
            settings,
            router,
            upstream,
            lambda result: proxy.results.append(result),
            lambda decision: proxy.decisions.append(decision),
            lambda claim: proxy.claim(claim),
            lambda settle: proxy.settle(settle),
        )
        proxy = ProxyFixture(router, CallerListener(context, "127.0.0.1:0"))
        proxy.set_servers(
            [
                backend
                if isinstance(backend, Announcement)
                else announce(backend, f"i{index}")
                for index, backend in enumerate(backends)
            ]
        )
        await proxy.listener.start()
        try:
            yield proxy
        finally:
            for caller in proxy.callers:
                caller.close()
            await proxy.listener.stop()
