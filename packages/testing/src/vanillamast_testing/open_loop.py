"""A caller that sends requests at a fixed rate."""

import asyncio
import itertools
import random
import time
import uuid

import aiohttp
import msgspec

from vanillamast_testing.answer_body import answer_body
from vanillamast_testing.load_settings import LoadSettings
from vanillamast_testing.load_summary import LoadSummary, summarize
from vanillamast_testing.request_record import RequestRecord
from vanillamast_testing.uuid7 import uuid7

REPEAT_PAUSE_S = 0.2


class LoadGenerator:
    """Sends requests on schedule and records the outcome of each.

    Attributes:
      settings: What to send.
      records: One record per request, in order of sending.
      overrun: Requests dropped because too many were in flight.
      stopping: Set to end the load early.
    """

    def __init__(self, settings: LoadSettings):
        self.settings = settings
        self.records: list[RequestRecord] = []
        self.overrun = 0
        self.stopping = False
        self.rng = random.Random(settings.seed)
        self.targets = itertools.cycle(settings.targets)

    async def run(self) -> LoadSummary:
        """Sends for the whole duration and waits for the answers."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await self._send_on_schedule(session)
        return self.summary()

    def stop(self) -> None:
        """Ends the sending; requests in flight are still awaited."""
        self.stopping = True

    def summary(self) -> LoadSummary:
        """Returns the summary of the requests so far."""
        return summarize(self.records, self.overrun)

    async def _send_on_schedule(self, session: aiohttp.ClientSession) -> None:
        loop = asyncio.get_running_loop()
        start = loop.time()
        tasks: set[asyncio.Task[None]] = set()
        for index in range(int(self.settings.rate * self.settings.duration_s)):
            due = start + index / self.settings.rate
            await asyncio.sleep(max(0.0, due - loop.time()))
            if self.stopping:
                break
            if len(tasks) >= self.settings.max_outstanding:
                self.overrun += 1
                continue
            record = self._new_record(due - start)
            self.records.append(record)
            task = asyncio.create_task(self._exchange(session, record, due))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    def _new_record(self, sent_at_s: float) -> RequestRecord:
        posts = self.settings.posts
        post = bool(posts) and self.rng.random() < self.settings.post_share
        bits = self.rng.getrandbits(128)
        return RequestRecord(
            request_id=str(uuid.UUID(int=bits, version=4)),
            method="POST" if post else "GET",
            path=self.rng.choice(posts if post else self.settings.reads),
            target=next(self.targets),
            sent_at_s=sent_at_s,
            key=str(uuid7(time.time(), self.rng)) if post else "",
        )

    async def _exchange(
        self, session: aiohttp.ClientSession, record: RequestRecord, due: float
    ) -> None:
        for attempt in range(self.settings.repeats + 1):
            if attempt:
                await asyncio.sleep(REPEAT_PAUSE_S)
                record.target = next(self.targets)
            await self._attempt(session, record)
            if record.method != "POST" or record.outcome_known:
                break
        now = asyncio.get_running_loop().time()
        record.latency_ms = (now - due) * 1000

    async def _attempt(
        self, session: aiohttp.ClientSession, record: RequestRecord
    ) -> None:
        record.attempts += 1
        record.status = 0
        record.error = record.refusal = ""
        record.not_run = None
        record.whole = False
        try:
            async with session.request(
                record.method,
                f"http://{record.target}{record.path}",
                params=self._parameters(),
                headers=self._headers(record),
                data=self._body(record),
                timeout=aiohttp.ClientTimeout(total=self.settings.timeout_s),
            ) as answer:
                record.status = answer.status
                await self._read(answer, record)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            record.error = type(error).__name__

    async def _read(
        self, answer: aiohttp.ClientResponse, record: RequestRecord
    ) -> None:
        record.refusal = answer.headers.get("vanillamast-refusal", "")
        record.version = answer.headers.get("x-version", "")
        data = await answer.read()
        if record.refusal:
            record.not_run, record.whole = _parse_refusal(data)
            return
        size = self.settings.answer_bytes
        record.whole = data == answer_body(record.request_id, size)

    def _parameters(self) -> dict[str, str]:
        parameters = {"bytes": str(self.settings.answer_bytes)}
        if self.settings.delay_ms:
            parameters["delay_ms"] = str(self.settings.delay_ms)
        return parameters

    def _headers(self, record: RequestRecord) -> dict[str, str]:
        headers = {
            "x-request-id": record.request_id,
            "vanillamast-deadline-ms": str(self.settings.deadline_ms),
        }
        if record.key:
            headers["Idempotency-Key"] = record.key
        return headers

    def _body(self, record: RequestRecord) -> bytes | None:
        if record.method != "POST":
            return None
        return answer_body(record.request_id, self.settings.post_bytes)


class _RefusalBody(msgspec.Struct):
    not_run: bool


def _parse_refusal(data: bytes) -> tuple[bool | None, bool]:
    """Returns a refusal's `not_run`, and whether its body is whole."""
    try:
        return msgspec.json.decode(data, type=_RefusalBody).not_run, True
    except msgspec.MsgspecError:
        return None, False
