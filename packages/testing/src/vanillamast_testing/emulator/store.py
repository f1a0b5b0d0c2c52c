"""The emulated store, over HTTP."""

import asyncio
import base64
import collections
import copy
import struct
from typing import Any

from aiohttp import web

from vanillamast_testing.emulator.partition import (
    FencedError,
    OffsetError,
    Partition,
    SequenceError,
)

OPERATOR_TOPICS = ("keyed.op", "keyed.servers")
READ_MAX_KB = 1024
PAGE_MAX_ITEMS = 500
PAGE_MAX_BYTES = 1_000_000
MAX_WAIT_S = 30.0

Partitions = dict[tuple[str, int], Partition]


class EmulatedStore:
    """Topics and groups, with faults that tests switch on.

    Attributes:
      host: Address to listen on.
      port: Port to listen on.
      partitions: Partitions by topic and number.
      groups: Generation and members of each group; members with the time at
        which they expire.
      calls: Number of calls by path.
      callers: Listening addresses on which calls arrived, by path.
      sent_bytes: Bytes of the response bodies by path.
      failure_mode: How all calls fail: "" for not at all, "unavailable"
        (status 503), "reset" (closed connections) or "unresponsive" (delayed
        by `MAX_WAIT_S`).
      blocked_hosts: Listening addresses on which calls get status 503.
      silent_topics: Topics whose calls get no answer.
      delay_s: Delay before each call is handled.
      lose_answer_every: Every n-th write takes effect but gets no answer; 0
        for none.
      era: Number of returns from an older copy.
      names_era: Whether responses name the era.
    """

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self.partitions: Partitions = {}
        self.groups: dict[str, tuple[int, dict[str, float]]] = {}
        self.calls: collections.Counter[str] = collections.Counter()
        self.callers: dict[str, set[str]] = collections.defaultdict(set)
        self.sent_bytes: collections.Counter[str] = collections.Counter()
        self.failure_mode = ""
        self.blocked_hosts: set[str] = set()
        self.silent_topics: set[str] = set()
        self.delay_s = 0.0
        self.lose_answer_every = 0
        self.era = 0
        self.names_era = True
        self.writes = 0
        self.changed = asyncio.Condition()
        self.runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Starts to listen."""
        app = web.Application(
            middlewares=[self._inject_fault], client_max_size=4 << 20
        )
        app.on_response_prepare.append(self._add_era)
        app.on_response_prepare.append(self._count_bytes)
        app.router.add_post("/api/log-append", self._append)
        app.router.add_get("/api/log-read", self._read)
        app.router.add_get("/api/log-newest", self._newest)
        app.router.add_post("/api/log-join", self._join)
        app.router.add_post("/api/log-leave", self._leave)
        app.router.add_post("/api/log-trim", self._trim)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        await self.listen(self.host)

    async def listen(self, host: str) -> None:
        """Listens on one more address.

        Each machine has its own, which shows whose calls arrive.
        """
        assert self.runner is not None
        await web.TCPSite(self.runner, host, self.port).start()

    async def stop(self) -> None:
        """Stops listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    def partition(self, topic: str, part: int) -> Partition:
        """Returns a partition; creates it at the first use."""
        key = (topic, part)
        if key not in self.partitions:
            self.partitions[key] = Partition(topic.startswith("keyed."))
        return self.partitions[key]

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Appends a keyed record as the operator; returns its offset."""
        name = key.encode()
        offset = self.partition(topic, 0).append(
            [bytes((len(name),)) + name + value]
        )
        await self._notify()
        return offset

    def newest(self, topic: str, key: str) -> bytes | None:
        """Returns the newest value of a key."""
        found = self.partition(topic, 0).newest.get(key)
        return found[0] if found is not None else None

    def make_copy(self) -> Partitions:
        """Returns a copy of all partitions, for a later `restore`."""
        return copy.deepcopy(self.partitions)

    async def restore(self, partitions: Partitions) -> dict[str, bytes]:
        """Returns to an older copy, as after an outage.

        Producers and offsets return to it as well; groups stay.

        Returns:
          Newest values of the operator's keys that the copy lacks, in the
          order of their offsets; empty for keys that were deleted since.
        """
        lost = self.partition("keyed.op", 0).newest
        self.partitions = copy.deepcopy(partitions)
        self.era += 1
        kept = self.partition("keyed.op", 0).newest
        await self._notify()
        deleted = dict.fromkeys(kept.keys() - lost.keys(), b"")
        by_offset = sorted(lost.items(), key=lambda item: item[1][1])
        return deleted | {
            key: value
            for key, (value, _) in by_offset
            if kept.get(key) != lost[key]
        }

    async def _add_era(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        del request
        if self.names_era:
            response.headers["Store-Era"] = str(self.era)

    async def _count_bytes(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        self.sent_bytes[request.path] += response.content_length or 0

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    @web.middleware
    async def _inject_fault(self, request: web.Request, handler: Any) -> Any:
        self.calls[request.path] += 1
        failure_mode = self.failure_mode
        transport = request.transport
        if transport is not None:
            host = transport.get_extra_info("sockname")[0]
            self.callers[request.path].add(host)
            if not failure_mode and host in self.blocked_hosts:
                failure_mode = "unavailable"
        if failure_mode == "unavailable":
            return web.json_response({}, status=503)
        if failure_mode == "reset":
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        if request.query.get("topic") in self.silent_topics:
            failure_mode = "unresponsive"
        if failure_mode == "unresponsive":
            await asyncio.sleep(MAX_WAIT_S)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        return await handler(request)

    async def _append(self, request: web.Request) -> web.StreamResponse:
        query = request.query
        topic = query["topic"]
        if topic in OPERATOR_TOPICS:
            return web.json_response({}, status=403)
        partition = self.partition(topic, int(query.get("part", 0)))
        records = _split_records(await request.read())
        try:
            if "producer_id" in query:
                offset = partition.append_fenced(
                    query["producer_id"],
                    int(query["epoch"]),
                    int(query.get("sequence", 0)),
                    records,
                )
            else:
                at = int(query["at"]) if "at" in query else None
                offset = partition.append(records, at)
        except OffsetError:
            return web.json_response(
                {"end_offset": partition.end_offset}, status=412
            )
        except FencedError:
            return web.json_response({"why": "fenced"}, status=409)
        except SequenceError as error:
            return web.json_response(
                {"why": "seq", "sequence": error.expected}, status=409
            )
        await self._notify()
        self.writes += 1
        lost = (
            self.lose_answer_every and self.writes % self.lose_answer_every == 0
        )
        if lost and request.transport is not None:
            request.transport.abort()
        return web.json_response(
            {"offset": offset, "end_offset": partition.end_offset}
        )

    async def _read(self, request: web.Request) -> web.StreamResponse:
        query = request.query
        topic, part = query["topic"], int(query.get("part", 0))
        start = int(query["from"])
        wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", 0)) / 1000.0)
        try:
            async with asyncio.timeout(wait_s), self.changed:
                # A return to an older copy replaces the partition.
                while self.partition(topic, part).end_offset == start:
                    await self.changed.wait()
        except TimeoutError:
            # The long poll ends without records.
            pass
        partition = self.partition(topic, part)
        if not partition.first_offset <= start <= partition.end_offset:
            return web.json_response(
                {"first_offset": partition.first_offset}, status=410
            )
        head = struct.pack(">QQ", partition.end_offset, partition.first_offset)
        limit = int(query.get("max_kb", READ_MAX_KB)) * 1024
        body = b""
        for record in partition.records[start - partition.first_offset :]:
            # At least one record is returned, however long it is.
            if body and len(body) + 4 + len(record) > limit:
                break
            body += struct.pack(">I", len(record)) + record
        return web.Response(body=head + body)

    async def _newest(self, request: web.Request) -> web.StreamResponse:
        query = request.query
        partition = self.partition(query["topic"], int(query.get("part", 0)))
        after = query.get("after", "")
        items: list[dict[str, Any]] = []
        size = 0
        more = False
        for key in sorted(partition.newest):
            if key <= after:
                continue
            value, offset = partition.newest[key]
            if len(items) >= PAGE_MAX_ITEMS or size > PAGE_MAX_BYTES:
                more = True
                break
            text = base64.b64encode(value).decode()
            size += len(text)
            items.append({"key": key, "value": text, "offset": offset})
        return web.json_response(
            {"items": items, "more": more, "end_offset": partition.end_offset}
        )

    async def _join(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        now = asyncio.get_running_loop().time()
        generation, members = self.groups.get(body["group"], (0, {}))
        alive = {name: end for name, end in members.items() if end > now}
        if alive.keys() != members.keys() or body["member_id"] not in alive:
            generation += 1
        alive[body["member_id"]] = now + float(body["ttl_s_time"])
        self.groups[body["group"]] = (generation, alive)
        return web.json_response(
            {
                "generation": generation,
                "ttl_s_time": body["ttl_s_time"],
                "parts": [],
            }
        )

    async def _leave(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        generation, members = self.groups.get(body["group"], (0, {}))
        members.pop(body["member_id"], None)
        self.groups[body["group"]] = (generation + 1, members)
        return web.json_response({})

    async def _trim(self, request: web.Request) -> web.StreamResponse:
        query = request.query
        partition = self.partition(query["topic"], int(query.get("part", 0)))
        partition.trim(int(query["before_offset"]))
        return web.json_response({})


def _split_records(body: bytes) -> list[bytes]:
    records = []
    at = 0
    while at < len(body):
        (length,) = struct.unpack_from(">I", body, at)
        records.append(body[at + 4 : at + 4 + length])
        at += 4 + length
    return records
