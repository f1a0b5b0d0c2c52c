"""A load generator with pooled connections on bare sockets."""

import asyncio
import collections
import random

_REQUEST = b"GET /page HTTP/1.1\r\nhost: bench\r\naccept: */*\r\n\r\n"
_REFUSAL = b"vanillamast-refusal: "


class LoadConnection(asyncio.Protocol):
    """A keep-alive connection that carries at most one request at a time."""

    def __init__(self) -> None:
        self.buffer = b""
        self.missing = -1
        self.done: asyncio.Future[tuple[int, str]]
        self.transport: asyncio.Transport
        self.lost = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends a call without a response as lost."""
        self.lost = True
        if not self.done.done():
            self.done.set_result((0, "lost"))

    def call(self) -> "asyncio.Future[tuple[int, str]]":
        """Sends a request.

        Returns:
          A future of the response's status and kind of refusal.
        """
        self.done = asyncio.get_running_loop().create_future()
        self.buffer = b""
        self.transport.write(_REQUEST)
        return self.done

    def data_received(self, data: bytes) -> None:
        """Ends the call once the response is complete."""
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        lower_head = head.lower()
        start = lower_head.index(b"content-length: ") + 16
        length = int(lower_head[start:].split(b"\r\n", 1)[0])
        if len(body) < length or self.done.done():
            return
        kind = ""
        if _REFUSAL in lower_head:
            start = lower_head.index(_REFUSAL) + len(_REFUSAL)
            kind = lower_head[start:].split(b"\r\n", 1)[0].decode()
        self.done.set_result((int(head[9:12]), kind))


class LoadGenerator:
    """Calls one address and collects latencies and outcomes.

    Attributes:
      latencies: Seconds that calls with status 200 took.
      outcomes: Number of calls by kind of refusal, or by status if none.
    """

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self.host = host
        self.port = int(port)
        self.idle: list[LoadConnection] = []
        self.latencies: list[float] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    async def call(self) -> None:
        """Makes one call."""
        loop = asyncio.get_running_loop()
        connection = await self._acquire_connection(loop)
        started = loop.time()
        status, kind = await connection.call()
        elapsed = loop.time() - started
        self.outcomes[kind or str(status)] += 1
        if status == 200:
            self.latencies.append(elapsed)
        if not connection.lost:
            self.idle.append(connection)

    async def _acquire_connection(
        self, loop: asyncio.AbstractEventLoop
    ) -> LoadConnection:
        while self.idle:
            connection = self.idle.pop()
            if not connection.lost:
                return connection
        connected = await loop.create_connection(
            LoadConnection, self.host, self.port
        )
        return connected[1]

    async def warm_up(self, connections: int) -> None:
        """Opens connections and discards the results of the first calls."""
        for _ in range(3):
            await asyncio.gather(*(self.call() for _ in range(connections)))
        self.latencies.clear()
        self.outcomes.clear()

    async def run_open_loop(
        self, rate: float, seconds: float, rng: random.Random
    ) -> None:
        """Starts calls at exponential intervals without awaiting responses."""
        loop = asyncio.get_running_loop()
        next_call_at = loop.time()
        end = next_call_at + seconds
        while next_call_at < end:
            await asyncio.sleep(max(0.0, next_call_at - loop.time()))
            task = loop.create_task(self.call())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            next_call_at += rng.expovariate(rate)
        if self.tasks:
            await asyncio.wait(self.tasks)

    async def run_closed_loop(self, connections: int, seconds: float) -> None:
        """Makes calls back to back on each of several connections."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds

        async def repeat() -> None:
            while loop.time() < end:
                await self.call()

        await asyncio.gather(*(repeat() for _ in range(connections)))
